package paxos

import (
	"oxbowdeck/internal/ids"
)

// electionState is of one that would lead.
type electionState struct {
	askedAt ids.Millis             // last pre-vote or campaign
	votes   map[ids.ReplicaID]bool // granted pre-votes or promises so far
	offered []Entry                // what promises told
	times   promisedTimes
}

// hasQuorum tells whether yes holds a majority of every membership that can
// apply to an undecided instance.
func (c *Core) hasQuorum(yes map[ids.ReplicaID]bool) bool {
	if !majority(c.membersAt(c.commit+1), yes) {
		return false
	}
	for _, e := range c.memberships {
		if e.From > c.commit+1 && !majority(e.Members, yes) {
			return false
		}
	}
	return true
}

// memberships are those that undecided values held here, or offered by others,
// would bring into force. A lower ballot may have decided one of them and gone on
// under it, so a candidate needs a majority of each as well.
func (c *Core) possibleMemberships() (out [][]Member) {
	for _, e := range append(append([]Entry(nil), c.election.offered...), c.entriesFrom(c.commit+1)...) {
		if e.Slot <= c.commit {
			continue
		}
		if v, err := decode(e.Val); err == nil && len(v.Members) > 0 {
			out = append(out, v.Members)
		}
	}
	return out
}

// isReplaced tells whether a replica that asks to lead has no part in any
// membership known here, and knows less than this replica does: it was replaced.
func (c *Core) isReplaced(n ids.ReplicaID, commit ids.Slot) bool {
	if commit >= c.commit {
		return false
	}
	for _, e := range c.memberships {
		if has(e.Members, n) {
			return false
		}
	}
	return true
}

const never = ids.Millis(1) << 60

// askAt is when a replica that hears no leader next tries to become it.
func (c *Core) askAt() ids.Millis {
	if c.draining || !c.voter() {
		return never
	}
	pause := c.conf.DisconnectTimeout
	if c.role == Candidate {
		pause = c.conf.ElectionTimeout // promises wait for disks: give them time
	}
	return max(c.doubtAt(), c.election.askedAt+pause)
}

// doubtAt is when this replica gives the leader up: the earlier in the agreed
// order, the sooner, so the first live one leads.
func (c *Core) doubtAt() ids.Millis {
	rank := 0
	for _, m := range c.Voters() {
		if m.ID == c.conf.Self.ID {
			break
		}
		if m.ID != c.leader.Replica() {
			rank++
		}
	}
	return c.following.heardAt + c.conf.ElectionTimeout + ids.Millis(rank)*c.conf.ElectionBackoff
}

// Disconnected tells that the connection to a peer broke: the leader has only a little
// election timeout left to be heard again. Links of those who don't vote break whenever
// one of a fleet ends, and none of them waits for the leader's place.
func (c *Core) Disconnected(now ids.Millis, node ids.Node) {
	c.resign(now)
	if c.role == Leader {
		if ContainsNode(c.peers(true, false), node) {
			c.leading.heartbeatAt = now - c.conf.HeartbeatInterval // be heard again at once: a reset is no death
		}
		return
	}
	if node == c.leaderNode {
		if h := now - c.conf.ElectionTimeout + c.conf.DisconnectTimeout; h < c.following.heardAt {
			c.following.heardAt = h
		}
	}
}

func (c *Core) preVote(now ids.Millis) {
	c.role = PreCandidate
	c.election.askedAt = now
	c.election.votes = map[ids.ReplicaID]bool{c.conf.Self.ID: true}
	for _, m := range c.peers(true, false) {
		c.send(m.Node, Msg{Kind: PreVote, Ballot: c.promised, Commit: c.commit})
	}
	if c.hasQuorum(c.election.votes) {
		c.campaign(now)
	}
}

// preVoteAsked answers a replica that asks whether it would be elected.
func (c *Core) preVoteAsked(now ids.Millis, from ids.Node, m Msg) {
	if c.isReplaced(m.From, m.Commit) {
		return
	}
	if m.Ballot < c.promised {
		c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
		return
	}
	silent := now >= c.following.heardAt+c.conf.ElectionTimeout-c.conf.DisconnectTimeout
	c.send(from, Msg{Kind: PreVoteGranted, Ballot: m.Ballot, Yes: silent && c.role != Leader, Commit: c.commit})
}

// preVoteGranted counts the replicas that would elect this one.
func (c *Core) preVoteGranted(now ids.Millis, m Msg) {
	if c.role != PreCandidate || !m.Yes || m.Ballot != c.promised {
		return
	}
	c.election.votes[m.From] = true
	if c.hasQuorum(c.election.votes) {
		c.campaign(now)
	}
}

// campaign asks for promises under a ballot of its own, once that is on its disk.
func (c *Core) campaign(now ids.Millis) {
	c.role = Candidate
	c.election.askedAt = now
	c.election.votes = map[ids.ReplicaID]bool{}
	c.election.offered = nil
	c.election.times = promisedTimes{}
	c.promised = ids.MakeBallot(c.promised.Round()+1, c.conf.Self.ID)
	var ms []Envelope
	to := c.peers(true, false)
	for _, members := range c.possibleMemberships() {
		for _, m := range members {
			if m.Node != c.conf.Self.Node && !ContainsNode(to, m.Node) {
				to = append(to, m)
			}
		}
	}
	for _, m := range to {
		ms = append(ms, c.envelope(m.Node, Msg{Kind: Prepare, Ballot: c.promised, Slot: c.commit + 1}))
	}
	c.save(Record{}, wait{msgs: ms, bal: c.promised, vow: true})
}

func (c *Core) stepDown(now ids.Millis) {
	if c.role == Leader {
		c.leading.queues, c.leading.urgentWaiting, c.leading.repropose = [2]requestQueue{}, nil, nil
		c.leading.submitted = nil
		for _, e := range c.log {
			e.pending = false
		}
		c.leaderNode = ""
		c.leading.wantedMembers = nil
	}
	if c.role != Follower {
		c.following.heardAt = now
	}
	c.role = Follower
	c.leading.transferring, c.leading.successor = false, ""
	c.election.votes, c.election.offered = nil, nil
}

// prepare promises a candidate to take nothing below its ballot any more. A ballot
// that is promised already is promised again: it may be known from a Nack alone,
// which overtakes the Prepare while the candidate's disk syncs, and a ballot has one
// proposer, so the second promise adds nothing to the first. One whose proposer is
// followed already needs no promise any more.
// refused takes a higher ballot that a replica has promised.
func (c *Core) refused(now ids.Millis, m Msg) {
	if m.Ballot <= c.promised {
		return
	}
	c.promised = m.Ballot
	heard, led := c.following.heardAt, c.role == Leader
	c.stepDown(now)
	if !led {
		c.following.heardAt = heard // still in doubt: ask again soon, above that ballot
	}
	c.save(Record{}, wait{})
}

// prepare answers a candidate with its promise, once that is on the disk.
func (c *Core) prepare(now ids.Millis, from ids.Node, m Msg) {
	if c.isReplaced(m.From, m.Slot-1) {
		return
	}
	if m.Ballot < c.promised || m.Ballot == c.leader {
		c.send(from, Msg{Kind: Nack, Ballot: c.promised, Commit: c.commit})
		return
	}
	c.promised = m.Ballot
	c.stepDown(now)
	c.following.heardAt = now
	if m.Slot <= c.base {
		// the candidate lacks what this replica no longer has in its log
		c.eff.SnapshotPeers = append(c.eff.SnapshotPeers, from)
		c.save(Record{}, wait{})
		return
	}
	r := Msg{Kind: Promise, Ballot: m.Ballot, Commit: c.commit, Entries: c.entriesFrom(m.Slot)}
	c.promiseTime(now, &r)
	c.save(Record{}, wait{msgs: []Envelope{c.envelope(from, r)}})
}

// promise counts a replica's promise. Phase 1 is over once a quorum of every
// membership that may apply has promised.
func (c *Core) promise(now ids.Millis, m Msg) {
	if c.role != Candidate || m.Ballot != c.promised {
		return
	}
	c.takeDecided(m)
	c.advance(now)
	c.election.offered = append(c.election.offered, m.Entries...)
	c.election.votes[m.From] = true
	c.election.times.addPromise(now, m)
	if !c.voter() {
		c.stepDown(now) // replaced meanwhile: it leads no more
		return
	}
	if !c.hasQuorum(c.election.votes) {
		return
	}
	for _, members := range c.possibleMemberships() {
		if !majority(members, c.election.votes) {
			c.prepareAt(members)
			return
		}
	}
	c.startLeading(now)
}

// takeDecided takes what a promise tells to be decided.
func (c *Core) takeDecided(m Msg) {
	for _, e := range m.Entries {
		if !e.Decided || e.Slot <= c.commit {
			continue
		}
		if s := c.log[e.Slot]; s == nil || !s.chosen {
			c.log[e.Slot] = &slot{bal: m.Ballot, val: e.Val, chosen: true}
			c.saveEntry(e.Slot, wait{})
		}
	}
}

// prepareAt asks those of some members who have not promised yet.
func (c *Core) prepareAt(members []Member) {
	for _, x := range members {
		if !c.election.votes[x.ID] && x.Node != c.conf.Self.Node {
			c.send(x.Node, Msg{Kind: Prepare, Ballot: c.promised, Slot: c.commit + 1})
		}
	}
}

// undecidedEntries gives, for each undecided instance that a promise or the own log
// holds, the entry of the highest ballot, and the last such instance.
func (c *Core) undecidedEntries() (best map[ids.Slot]Entry, top ids.Slot) {
	best, top = map[ids.Slot]Entry{}, c.commit
	for _, e := range append(c.election.offered, c.entriesFrom(c.commit+1)...) {
		if e.Slot <= c.commit {
			continue
		}
		if b, ok := best[e.Slot]; !ok || e.Decided && !b.Decided || !b.Decided && e.Ballot > b.Ballot {
			best[e.Slot] = e
		}
		top = max(top, e.Slot)
	}
	return best, top
}

// startLeading begins a leadership: it repeats every undecided instance under its
// ballot, with no-ops where there is no value.
func (c *Core) startLeading(now ids.Millis) {
	best, top := c.undecidedEntries()
	c.keepOneMembership(best)
	c.role = Leader
	c.leader, c.leaderNode = c.promised, c.conf.Self.Node
	c.membershipSince = c.commit + 1 // what others hold is not known to a new leader
	c.contact.lead(top)
	c.election.votes, c.election.offered = nil, nil
	c.leading = leaderState{
		since:         now,
		nextSlot:      c.commit + 1,
		urgentWaiting: map[string]int{},
		submitted:     map[ID]bool{},
		unanswered:    map[ids.ReplicaID]*unansweredAccepts{},
		caughtUpTo:    map[ids.ReplicaID]ids.Slot{},
		probedAt:      map[ids.ReplicaID]ids.Millis{},
		// what it told in an earlier term stays told
		announcedCommit: c.leading.announcedCommit,
		heartbeatAt:     c.leading.heartbeatAt,
	}
	c.startTime(now)
	for s := c.commit + 1; s <= top; s++ {
		c.leading.repropose = append(c.leading.repropose, Entry{Slot: s, Val: best[s].Val})
		if v, err := decode(best[s].Val); err == nil && len(v.Members) > 0 {
			c.leading.membershipSlot = s
		}
	}
	c.propose(now)
	c.heartbeat(now)
}

// keepOneMembership leaves one membership in each window of what is to be repeated: the
// one of the highest ballot. A leader proposes a membership only when Phase 1 showed
// it none undecided and the one before is in force, a window later. So when two are
// closer, who proposed the newer one had a majority's promises and did not see the
// other, which therefore was not chosen and never can be: a no-op takes its place.
// Both together could leave what is decided between them with members of neither.
func (c *Core) keepOneMembership(best map[ids.Slot]Entry) {
	changes := map[ids.Slot]Entry{}
	for s, e := range best {
		if v, err := decode(e.Val); err == nil && len(v.Members) > 0 {
			changes[s] = e
		}
	}
	for s, e := range changes {
		for o, x := range changes {
			near := max(s, o)-min(s, o) <= ids.Slot(c.conf.Window)
			if s != o && near && !e.Decided && (x.Decided || x.Ballot > e.Ballot) {
				best[s] = Entry{Slot: s}
			}
		}
	}
}
