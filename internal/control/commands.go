package control

import (
	"slices"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// pendingCommand is a command this node put to the group and waits for.
type pendingCommand struct {
	id       paxos.ID
	encoded  []byte
	term     ids.Ballot // of a leader's own command: it is put by the leader of that term or not at all
	sent     ids.Millis
	deadline ids.Millis
	done     func(Result, bool)
}

// ask carries a command to the leader.
type ask struct {
	_   struct{} `cbor:",toarray"`
	Req paxos.Request
}

// Times of commands.
const (
	commandRetryAfter = ids.Millis(150)  // so long an answer is waited for before a command is put again
	leaderCommandWait = ids.Millis(1000) // what the leader does of itself is looked at again then
	enrollWait        = ids.Millis(2000) // who enrolls asks again
	selfEnrollWait    = ids.Millis(1000)
	departWait        = ids.Millis(1000)
	leaveWait         = ids.Millis(1000) // who reports a loss reports it again
	membershipWait    = ids.Millis(3000)
	workerGoneWait    = ids.Millis(1000)
)

// ignoreResult is for commands that are put again, if need be, by looking at the state.
func ignoreResult(Result, bool) {}

// Ask puts a command to the group, through its leader wherever that is; done
// gets the result where this replica applies it, or false after wait: then it may
// have been run or not, and no copy that is decided after a later command of this
// node will be.
func (c *Control) Ask(cmd Command, wait ids.Millis, done func(Result, bool)) {
	if len(c.waiting) >= maxPending {
		done(0, false)
		return
	}
	c.seq++
	cmd.Low = c.seq
	if len(c.waiting) > 0 {
		cmd.Low = c.waiting[0].id.Seq
	}
	encoded, err := codec.Marshal(cmd)
	if err != nil {
		done(0, false)
		return
	}
	p := &pendingCommand{
		id:       paxos.ID{Origin: c.origin(), Seq: c.seq},
		encoded:  encoded,
		deadline: c.now + wait,
		done:     done,
	}
	if cmd.leaderOnly() {
		p.term = cmd.Term
	}
	c.waiting = append(c.waiting, p)
	c.propose(p)
}

// origin names this incarnation as one that puts commands.
func (c *Control) origin() string {
	return string(c.conf.Self.Addr) + "/" + ids.Cursor(0, ids.Position(c.conf.Self.Incarnation))
}

// askAsLeader puts a leader's own command to the group, under its term.
func (c *Control) askAsLeader(cmd Command) {
	cmd.Term, _ = c.core.Leader()
	c.Ask(cmd, leaderCommandWait, ignoreResult)
}

// Read calls done once this replica has applied all that was decided when it was
// called: by a lease that is held, or through the group's order.
func (c *Control) Read(wait ids.Millis, done func(bool)) {
	if c.current() {
		c.checkLease("read")
		done(true)
		return
	}
	c.Ask(Command{Verb: Read}, wait, func(_ Result, ok bool) { done(ok) })
}

// takePending takes a command off those waited for.
func (c *Control) takePending(id paxos.ID) *pendingCommand {
	i := slices.IndexFunc(c.waiting, func(p *pendingCommand) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	p := c.waiting[i]
	c.waiting = slices.Delete(c.waiting, i, i+1)
	return p
}

// propose gives a command to the leader.
func (c *Control) propose(p *pendingCommand) {
	p.sent = c.now
	term, leader := c.core.Leader()
	request := paxos.Request{ID: p.id, Data: p.encoded}
	switch {
	case leader == c.conf.Self.Addr && (p.term == 0 || p.term == term):
		c.out.Submit(request)
	case p.term != 0:
		p.deadline = c.now // the term is over: nobody else is to do it
	case leader != "":
		c.out.Send(leader, controlapi.KindAsk, ask{Req: request})
	}
}
