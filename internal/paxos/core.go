package paxos

import (
	"errors"
	"slices"

	"oxbowdeck/internal/ids"
)

// Role of a replica.
type Role uint8

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var (
	ErrNotLeader = errors.New("not the leader")
	ErrFull      = errors.New("too much is waiting")
	ErrBehind    = errors.New("too few members hold what is decided")
)

type slot struct {
	bal     ids.Ballot
	val     []byte
	chosen  bool
	acks    map[ids.ReplicaID]bool
	holders map[ids.Node]bool // machines that have it on their disk
	agreed  bool              // a majority of the voters has it; more copies may be wanted
	sentAt  ids.Millis
	pending bool       // proposed by this leader, undecided
	since   ids.Millis // a follower holds it since
	timing  Timing     // at the leader that proposed it
}

// Core is one replica of one group: what every replica holds, and a part for each
// thing that it does.
type Core struct {
	conf           Config
	role           Role
	promised       ids.Ballot // no lower ballot is accepted any more
	promisedBefore ids.Ballot // the same at the last Drain
	log            map[ids.Slot]*slot
	commit         ids.Slot   // decided up to here
	base           ids.Slot   // a snapshot covers the log up to here
	clock          ids.Millis // decided time of the last decided instance
	timeline       timeline   // decided time now, as the newest leader measures it
	born           ids.Millis // when this incarnation began, by its own steady clock
	now            ids.Millis // as of the last tick
	draining       bool       // its process is about to end: it leads no more

	memberships     []Membership // in force, and decided to be
	membershipSince ids.Slot     // the newest membership came into force here
	learners        []Member

	leader     ids.Ballot // the highest ballot heard acting
	leaderNode ids.Node

	seen map[ids.ReplicaID]ids.Millis // when each replica was last heard
	fed  map[ids.Node]sent            // what a replica that lags was last given

	disk      diskState
	election  electionState
	leading   leaderState
	following followerState
	contact   contact
	eff       Effects
}

// New starts a replica from what its disk holds.
func New(conf Config, boot InitialState, now ids.Millis) *Core {
	c := &Core{
		conf:        conf,
		promised:    boot.Promised,
		log:         map[ids.Slot]*slot{},
		commit:      boot.Base,
		base:        boot.Base,
		clock:       boot.Clock,
		memberships: append([]Membership(nil), boot.Memberships...),
		seen:        map[ids.ReplicaID]ids.Millis{},
		fed:         map[ids.Node]sent{},
		disk:        diskState{durable: boot.Commit, recordedCommit: boot.Commit},
		following:   followerState{heardAt: now},
	}
	for _, e := range boot.Entries {
		if e.Slot <= boot.Base {
			continue
		}
		c.log[e.Slot] = &slot{bal: e.Ballot, val: e.Val, chosen: e.Slot <= boot.Commit}
		if e.Ballot > c.promised {
			c.promised = e.Ballot
		}
	}
	// nobody was heard in this incarnation: if all of them begin, there is no leader to
	// wait for; if one lives, its members will not elect this replica
	c.following.heardAt = now - max(0, conf.ElectionTimeout-3*conf.DisconnectTimeout)
	c.born, c.contact.at = now, never
	c.timeline.ballot = c.promised // what it accepted before is of that at the most
	c.advance(now)
	return c
}

func (c *Core) Role() Role           { return c.role }
func (c *Core) Commit() ids.Slot     { return c.commit }
func (c *Core) Base() ids.Slot       { return c.base }
func (c *Core) Promised() ids.Ballot { return c.promised }

// Decided tells whether an instance is known here to be decided.
func (c *Core) Decided(s ids.Slot) bool {
	e := c.log[s]
	return s <= c.commit || e != nil && e.chosen
}

func (c *Core) Memberships() []Membership { return c.memberships }
func (c *Core) Self() Member              { return c.conf.Self }
func (c *Core) SetLearners(l []Member)    { c.learners = l }

// Leader tells the acting leader and its ballot, as far as this replica knows.
func (c *Core) Leader() (ids.Ballot, ids.Node) {
	if c.role == Leader {
		return c.leader, c.conf.Self.Node
	}
	return c.leader, c.leaderNode
}

func (c *Core) membersAt(s ids.Slot) []Member {
	var out []Member
	for _, e := range c.memberships {
		if e.From <= s {
			out = e.Members
		}
	}
	return out
}

// Voters are the voters of the next instance.
func (c *Core) Voters() []Member { return c.membersAt(c.commit + 1) }

func has(ms []Member, n ids.ReplicaID) bool {
	for _, m := range ms {
		if m.ID == n {
			return true
		}
	}
	return false
}

// SameMembers tells whether two memberships are the same, in the same order.
func SameMembers(a, b []Member) bool { return slices.Equal(a, b) }

// ContainsNode tells whether a node is among the members.
func ContainsNode(ms []Member, n ids.Node) bool {
	for _, m := range ms {
		if m.Node == n {
			return true
		}
	}
	return false
}

func (c *Core) voter() bool { return has(c.Voters(), c.conf.Self.ID) }

// peers are all replicas but this one: voters of any era at hand, and learners.
func (c *Core) peers(voters, learners bool) []Member {
	var out []Member
	add := func(ms []Member) {
		for _, m := range ms {
			if m.Node != c.conf.Self.Node && !ContainsNode(out, m.Node) {
				out = append(out, m)
			}
		}
	}
	if voters {
		add(c.Voters())
		for _, e := range c.memberships {
			if e.From > c.commit+1 {
				add(e.Members)
			}
		}
	}
	if learners {
		add(c.learners)
	}
	return out
}

func (c *Core) send(to ids.Node, m Msg) {
	m.Group, m.From = c.conf.Group, c.conf.Self.ID
	c.eff.Sends = append(c.eff.Sends, Envelope{To: to, Msg: m})
}

func (c *Core) envelope(to ids.Node, m Msg) Envelope {
	m.Group, m.From = c.conf.Group, c.conf.Self.ID
	return Envelope{To: to, Msg: m}
}

// Tick lets time pass.
func (c *Core) Tick(now ids.Millis) {
	c.now = now
	c.resign(now)
	switch c.role {
	case Leader:
		c.transferIfSlow(now)
		for i := range c.leading.queues {
			if q := &c.leading.queues[i]; len(q.open) > 0 && now-q.openAt >= c.conf.BatchTimeout {
				q.shut(now)
			}
		}
		for s := c.commit + 1; s < c.leading.nextSlot; s++ {
			if e := c.log[s]; e != nil && e.pending && now-e.sentAt >= 2*c.conf.HeartbeatInterval {
				e.sentAt = now
				for _, m := range c.peers(true, e.agreed) { // a follower's copy may be the one that lacks
					if !e.acks[m.ID] {
						c.send(m.Node, c.asLeader(now, Msg{Kind: Accept, Slot: s, Val: e.val}))
					}
				}
			}
		}
		c.propose(now)
		c.retransmit(now)
		if now-c.leading.heartbeatAt >= c.conf.HeartbeatInterval {
			c.heartbeat(now)
		}
	default:
		c.askIfDecided(now)
		if now >= c.askAt() {
			c.preVote(now)
		}
	}
}

// NextWake is when Tick is next needed.
func (c *Core) NextWake() ids.Millis {
	if c.role == Leader {
		w := c.leading.heartbeatAt + c.conf.HeartbeatInterval
		for i := range c.leading.queues {
			if q := &c.leading.queues[i]; len(q.open) > 0 {
				w = min(w, q.openAt+c.conf.BatchTimeout)
			}
		}
		for _, k := range c.leading.unanswered {
			for _, o := range k.accepts {
				if !o.retransmitted {
					w = min(w, o.at+k.retransmitAfter(c.conf.RetransmitTimeout))
					break
				}
			}
		}
		return w
	}
	w := c.askAt()
	if c.undecided(c.commit+1) && c.leaderNode != "" {
		w = min(w, max(c.log[c.commit+1].since, c.following.retransmittedAt)+c.conf.RetransmitTimeout)
	}
	return w
}

// Receive handles a message from another replica.
func (c *Core) Receive(now ids.Millis, from ids.Node, m Msg) {
	c.resign(now)
	c.seen[m.From] = now
	switch m.Kind {
	case PreVote:
		c.preVoteAsked(now, from, m)
	case PreVoteGranted:
		c.preVoteGranted(now, m)
	case Prepare:
		c.prepare(now, from, m)
	case Promise:
		c.promise(now, m)
	case Accept:
		c.accept(now, from, m)
	case Accepted:
		if c.role == Leader && m.Ballot == c.leader {
			c.answered(now, m.From, m.Slot)
			c.vote(now, m.Slot, m.From, from)
			c.propose(now)
		}
	case Heartbeat:
		c.heartbeatOf(now, from, m)
	case CaughtUp:
		c.caughtUp(now, from, m)
	case Nack:
		c.refused(now, m)
	case Fetch:
		c.feed(now, from, m.Slot)
	case Feed:
		c.takeFeed(now, from, m)
	case TransferLeadership:
		if m.Ballot >= c.promised && c.voter() && c.role != Leader && !c.draining {
			c.campaign(now)
		}
	}
}

// SetSelf gives this replica the number its (new) disk votes under.
func (c *Core) SetSelf(n ids.ReplicaID) { c.conf.Self.ID = n }
