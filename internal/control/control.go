package control

import (
	"slices"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/metrics"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/transport"
)

// Control is a control process without its sockets, clock and disk: frames, calls,
// ticks, applied commands and broken links go in, what is to be done goes out
// through an Environment. Its methods belong to one actor. The same inputs give the same
// outputs.
type Control struct {
	conf  Config
	out   Environment
	core  *paxos.Core
	state State
	now   ids.Millis

	// commands put to the group
	seq     uint64
	waiting []*pendingCommand // by number

	// updates to the data plane
	subscribers []subscriber
	bootstrap   []byte // the packed bootstrap of the update, as of bootstrapAt
	bootstrapAt ids.Slot
	dirty       bool // the state changed since subscribers were last told
	updateAt    ids.Millis
	heartbeatAt ids.Millis

	// enrollment of this process
	seeds         []ids.Node
	known         []ids.Node // control processes, as the disk remembers them
	enrollAt      ids.Millis
	enrollRetryAt ids.Millis
	enrollPause   ids.Millis
	leaving       bool

	// leader: what was reported, and when its tasks are due
	missed          map[incarnation]map[ids.Node]ids.Millis // who misses whom
	shardReports    map[ids.Group]*shardReport
	releasedReports map[ids.Group]releasedReport
	tasksAt         ids.Millis
	moveAt          ids.Millis
	counted         int // stores seen at the last look before the founding
	foundAt         ids.Millis
	short           shortfallLog

	// workers
	heartbeats      []*pendingHeartbeat // that the leader has not heard of yet
	heartbeatNumber uint64
	heard           map[string]workerHeard // leader: when each worker was heard
	expireAt        ids.Millis
	leadsSince      ids.Millis // this process does the leader's tasks since
}

// Config holds what a control node is told once.
type Config struct {
	Self             controlapi.Node
	Losses           int
	Lease            ids.Millis // contact with a majority may be so old to answer from the state
	Heartbeat        ids.Millis // of workers and of the ring
	WorkerHeartbeats int        // a worker silent for so many ends
	Repeat           ids.Millis // so long an order other than a configuration may be repeated
	Replace          ids.Millis // a shard's member silent for so long may be replaced by a busy store
	ControlReplace   ids.Millis // a member of the control group silent for so long is replaced
	Shards           int        // to found; 0: by the stores there are
	Queue            bool
	Metrics          *metrics.Control // nil where they are off
	Rand             func(n int64) int64
}

// Environment is what a control node acts through.
type Environment interface {
	Send(to ids.Node, k transport.Kind, v any) bool // lost if the link breaks first
	Submit(r paxos.Request) error                   // to this node's own replica
	Keep(row string, v any)                         // on the disk, sooner or later
	Ring(nodes []controlapi.Node)                   // the processes of the ring of heartbeats
	Log(event string, kv ...any)
}

// Times of what every node does of itself.
const (
	maxTickPause     = ids.Millis(1000)
	updateDelay      = ids.Millis(30) // changes are gathered for so long before subscribers are told
	heartbeatEvery   = ids.Millis(500)
	enrollCheckEvery = ids.Millis(1000)
)

// firstHeartbeatNumbers is the range that a process's numbering of workers' heartbeats
// begins in: an answer to an earlier incarnation names none of this one's.
const firstHeartbeatNumbers = 1 << 40

// NewControl makes a node; Begin gives it its replica before anything else.
func NewControl(conf Config, out Environment, seeds, known []ids.Node) *Control {
	return &Control{
		conf:            conf,
		out:             out,
		seeds:           seeds,
		known:           known,
		missed:          map[incarnation]map[ids.Node]ids.Millis{},
		shardReports:    map[ids.Group]*shardReport{},
		releasedReports: map[ids.Group]releasedReport{},
		heard:           map[string]workerHeard{},
		heartbeatNumber: uint64(conf.Rand(firstHeartbeatNumbers)),
	}
}

// Begin takes up the replica that was opened with this node as its machine.
func (c *Control) Begin(now ids.Millis, core *paxos.Core) {
	c.core, c.now, c.enrollAt = core, now, now
	c.membershipChanged()
}

// At tells the time before commands that were decided are applied.
func (c *Control) At(now ids.Millis) { c.now = now }

// State is what is agreed, as far as this replica has applied it.
func (c *Control) State() *State { return &c.state }

// current tells whether this replica was in touch with a majority within the
// lease, and stood then where the group stood: the one condition under which
// anything is answered from the state without asking the group.
func (c *Control) current() bool {
	age, ok := c.core.Contact(c.now)
	return ok && age <= c.conf.Lease
}

// checkLease compares the age of the contact with the lease, where something is answered
// from the state.
func (c *Control) checkLease(answer string) {
	age, ok := c.core.Contact(c.now)
	if !ok || age > c.conf.Lease {
		invariant.Violated(invariant.AnsweredWithinLease, "answer", answer, "age_ms", age, "lease_ms", c.conf.Lease)
	}
}

// term gives the fencing token of this leader's own commands; false for whoever does
// not lead, or leads and cannot be sure of it, or has not begun its term.
func (c *Control) term() (ids.Ballot, bool) {
	b, _ := c.core.Leader()
	return b, c.core.Role() == paxos.Leader && c.current() && c.state.Term == b
}

// Apply runs a decided instance. With Save, Load, Clock and Size it makes the node the
// group's state machine.
func (c *Control) Apply(x paxos.Decided) {
	type answer struct {
		command *pendingCommand
		result  Result
	}
	var answers []answer // given once the whole instance is run: updates name no part of one
	changed := c.state.Apply(x, func(id paxos.ID, r Result) {
		if p := c.takePending(id); p != nil {
			answers = append(answers, answer{p, r})
		}
	})
	if changed {
		if !c.dirty {
			c.dirty = true
			c.updateAt = c.now
		}
		c.membershipChanged()
	}
	for _, a := range answers {
		a.command.done(a.result, true)
	}
}

// Size of a snapshot is always small against the log that asks for one.
func (c *Control) Size() int { return 0 }

// Clock gives the decided time.
func (c *Control) Clock() ids.Millis { return c.state.Time }

// Save gives a snapshot of the state.
func (c *Control) Save() ([]byte, error) { return c.state.Save() }

// Load takes a snapshot.
func (c *Control) Load(b []byte) error {
	if err := c.state.Load(b); err != nil {
		return errs.Wrap("snapshot", "control", err)
	}
	c.dirty = true
	c.membershipChanged()
	return nil
}

// membershipChanged takes up the number the group gave this disk, and tells the engine
// which control processes follow without a vote.
func (c *Control) membershipChanged() {
	if c.core == nil {
		return
	}
	if n := c.state.find(c.conf.Self.Addr); n != nil && n.Disk == c.conf.Self.Disk && n.Num != c.conf.Self.Num {
		c.conf.Self.Num = n.Num
		c.core.SetSelf(n.Num)
		c.out.Keep(rowIdentity, Identity{Disk: c.conf.Self.Disk, Num: n.Num})
		c.out.Log("control-replica-numbered", "num", n.Num)
	}
	var learners []paxos.Member
	var controlNodes []ids.Node
	for _, n := range c.state.Nodes {
		if n.Role == controlapi.Control && !n.Gone {
			learners = append(learners, paxos.Member{ID: n.Num, Node: n.Addr})
			controlNodes = append(controlNodes, n.Addr)
		}
	}
	c.core.SetLearners(learners)
	if len(controlNodes) > 0 && !slices.Equal(controlNodes, c.known) {
		c.known = controlNodes
		c.out.Keep(rowKnown, controlNodes)
	}
}

// Frame takes a frame of the control plane's own; false for another's.
func (c *Control) Frame(now ids.Millis, conn controlapi.Conn, k transport.Kind, b []byte) bool {
	c.now = now
	switch k {
	case controlapi.KindEnroll:
		decode(b, func(x controlapi.Enroll) { c.enroll(conn, x) })
	case controlapi.KindAsk:
		decode(b, func(x ask) { c.out.Submit(x.Req) }) // refused or lost: the asker asks again
	case controlapi.KindLeave:
		decode(b, c.leave)
	case controlapi.KindMissing:
		decode(b, func(x controlapi.Leave) { c.Missing(now, x) })
	case controlapi.KindMemberLost:
		decode(b, c.memberLost)
	case controlapi.KindReleased:
		decode(b, c.released)
	case controlapi.KindWorkerHeartbeats:
		decode(b, func(x controlapi.WorkerHeartbeats) { c.forwardedHeartbeats(conn, x) })
	case controlapi.KindWorkerHeartbeatsHeard:
		decode(b, c.heartbeatsHeard)
	case controlapi.KindMembership:
		decode(b, func(x controlapi.MembershipReport) {
			c.Ask(Command{Verb: ReportMembership, Membership: &x}, membershipWait, ignoreResult)
		})
	default:
		return false
	}
	return true
}

// decode gives a frame's content to take; one that can't be read is dropped.
func decode[T any](b []byte, take func(T)) {
	if x, ok := transport.Get[T](b); ok {
		take(x)
	}
}

// Down tells that a link broke.
func (c *Control) Down(now ids.Millis, conn controlapi.Conn) {
	c.now = now
	c.subscribers = slices.DeleteFunc(c.subscribers, func(s subscriber) bool { return s.conn == conn })
}

// Seeds takes new control processes to turn to.
func (c *Control) Seeds(seeds []ids.Node) { c.seeds = seeds }

// schedule tells what is due now, and when the next thing will be.
type schedule struct {
	now  ids.Millis
	next ids.Millis
}

func (s *schedule) due(at ids.Millis) bool {
	if at <= s.now {
		return true
	}
	s.next = min(s.next, at)
	return false
}

// Tick does what is due, and tells when it is next needed.
func (c *Control) Tick(now ids.Millis) (next ids.Millis) {
	c.now = now
	s := &schedule{now: now, next: now + maxTickPause}
	c.retryCommands(s)
	if c.dirty && s.due(c.updateAt+updateDelay) {
		c.dirty = false
		c.sendUpdates()
	}
	if s.due(c.heartbeatAt + heartbeatEvery) {
		c.heartbeatAt = now
		c.sendHeartbeats()
	}
	if s.due(c.enrollAt) {
		c.enrollAt = now + enrollCheckEvery
		if !c.leaving && !c.enrolled() {
			c.enrollSelf()
		}
	}
	if at := c.forwardHeartbeats(); at > 0 {
		s.due(at)
	}
	if s.due(c.expireAt) {
		c.expireAt = now + expireWorkersEvery
		c.expireWorkers()
	}
	if s.due(c.tasksAt) {
		c.tasksAt = now + leaderTasksEvery
		c.leaderTasks()
	}
	return s.next
}

// retryCommands puts commands again whose answer is late, and gives up those whose
// time is over.
func (c *Control) retryCommands(s *schedule) {
	for _, p := range slices.Clone(c.waiting) {
		if s.due(p.deadline) {
			c.takePending(p.id)
			p.done(0, false)
		} else if s.due(p.sent + commandRetryAfter) {
			c.propose(p)
		}
	}
}

// sendUpdates tells subscribers what changed since each was last told.
func (c *Control) sendUpdates() {
	c.out.Ring(c.state.Nodes)
	update := controlapi.UpdateCache{Update: c.state.Update()}
	for i, s := range c.subscribers {
		given := update.Give(s.conn, s.seq)
		if given != s.seq {
			c.conf.Metrics.UpdateSent()
		}
		c.subscribers[i].seq = given
	}
}

func (c *Control) sendHeartbeats() {
	if !c.current() { // one that is cut off must not be trusted
		return
	}
	c.checkLease("heartbeat")
	for _, s := range c.subscribers {
		s.conn.Send(controlapi.KindHeartbeat, controlapi.Heartbeat{Seq: s.seq})
	}
}

// enrolled tells whether the state lists this incarnation as living.
func (c *Control) enrolled() bool {
	self := c.state.find(c.conf.Self.Addr)
	return self != nil && self.Incarnation == c.conf.Self.Incarnation && !self.Gone
}
