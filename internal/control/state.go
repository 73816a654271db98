// Package control is the control plane: the state that the control group agrees on, the
// node that serves it, and the process around both. What others are sent is in package
// controlapi, the operators' interface in controlhttp.
//
// The state machine, which gives the same from the same log on every replica: state.go,
// command.go, nodes.go, shards.go, configuration.go, retire.go, session.go, workers.go,
// format.go; and what is computed from it: place.go, moves.go with zone_cover.go and
// balance.go, members.go, plan.go.
//
// The node, without sockets, clock and disk: control.go, commands.go, enroll.go,
// reports.go, leader.go, worker_heartbeats.go, status.go.
//
// The process: daemon.go. Apart from these: config.go checks an operator's
// configuration, model.go is the source paper's model.
package control

import (
	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/statemachine"
)

// State is what the control group agrees on.
type State struct {
	Slot    ids.Slot           `cbor:"1,keyasint"`
	Release int64              `cbor:"2,keyasint"`
	Config  []byte             `cbor:"3,keyasint"` // packed
	Past    []taken            `cbor:"4,keyasint"` // configurations taken, newest last
	Nodes   []controlapi.Node  `cbor:"5,keyasint"`
	Next    ids.ReplicaID      `cbor:"6,keyasint"`
	Shards  []controlapi.Shard `cbor:"7,keyasint"`

	ConfigAt  ids.Slot `cbor:"8,keyasint"` // instances of the last changes
	UpdatedAt ids.Slot `cbor:"9,keyasint"`
	Forgot    ids.Slot `cbor:"10,keyasint"`

	Workers []controlapi.Worker `cbor:"11,keyasint"` // by id

	Time     ids.Millis     `cbor:"12,keyasint"` // decided time
	Sessions []session      `cbor:"13,keyasint"` // of those who put commands, by origin
	Term     ids.Ballot     `cbor:"14,keyasint"` // the newest leader's
	Retired  []retirement   `cbor:"15,keyasint"` // orders to empty a machine, newest last
	Leaving  []departure    `cbor:"16,keyasint"` // control processes that were told to end
	Voters   []paxos.Member `cbor:"17,keyasint"` // the control group's membership decided last
	Recorded []paxos.Member `cbor:"18,keyasint"` // the last one that each member holds

	// of shards that were founded with fewer voters: to how many they grow
	WantedVoters int `cbor:"19,keyasint,omitempty"`
}

// departure is an incarnation that is about to end.
type departure struct {
	_           struct{} `cbor:",toarray"`
	Addr        ids.Node
	Incarnation ids.Incarnation
}

// Apply runs a decided instance; answer gets each command's result, and changed
// is true when the update changed.
func (s *State) Apply(d paxos.Decided, answer func(paxos.ID, Result)) (changed bool) {
	s.Slot, s.Time = d.Slot, max(s.Time, d.Value.Stamp)
	if len(d.Value.Members) > 0 {
		s.Voters = d.Value.Members
	}
	var leftOut []statemachine.LeftOut
	for _, r := range paxos.Order(d.Value.Reqs) {
		var c Command
		if err := codec.Unmarshal(r.Data, &c); err != nil {
			leftOut = append(leftOut, statemachine.LeftOut{Slot: d.Slot, ID: r.ID, Err: err})
			continue
		}
		origin, result := s.session(r.ID, c.Low)
		if origin == nil { // a copy: it was run, or nobody waits for it any more
			if result != 0 {
				answer(r.ID, result)
			}
			continue
		}
		if !c.Verb.known() {
			err := statemachine.UnknownVerbError(c.Verb)
			leftOut = append(leftOut, statemachine.LeftOut{Slot: d.Slot, ID: r.ID, Err: err})
		}
		result, update := s.run(&c)
		if update {
			changed = true
			s.UpdatedAt = d.Slot
		}
		origin.record(r.ID.Seq, result)
		answer(r.ID, result)
	}
	for _, command := range leftOut {
		command.Report()
	}
	return changed
}

// run runs a command and tells whether the update changed.
func (s *State) run(c *Command) (result Result, changed bool) {
	if c.leaderOnly() && c.Term < s.Term {
		return Fenced, false
	}
	switch c.Verb {
	case Put:
		return s.put(c)
	case Enroll:
		return Done, s.enroll(c.Node, c.KeepsOrders)
	case Leave:
		return Done, s.leave(c.Node)
	case BeginTerm:
		s.Term = c.Term
		return Done, false
	case Depart:
		s.depart(c.Node)
		return Done, false
	case RecordMembership:
		s.Recorded = c.Members
		return Done, false
	case Found:
		return Done, s.found(c)
	case Retire:
		return s.retire(c.Node.Name, c.Losses, c.Within)
	case ReportMembership:
		return Done, c.Membership != nil && s.membershipReport(*c.Membership)
	case Follow, Promote, Drop, AddVoter:
		return Done, int(c.Group) < len(s.Shards) && s.move(&s.Shards[c.Group], c)
	case Register:
		return Done, c.Worker != nil && s.register(*c.Worker)
	case Unregister:
		return Done, c.Worker != nil && s.unregister(*c.Worker)
	}
	return Done, false
}

// Update gives the state as the data plane is told it.
func (s *State) Update() *controlapi.Update {
	return &controlapi.Update{
		Seq:      s.UpdatedAt,
		Forgot:   s.Forgot,
		Release:  s.Release,
		ConfigAt: s.ConfigAt,
		Config:   s.Config,
		Nodes:    s.Nodes,
		Shards:   s.Shards,
		Workers:  s.Workers,
	}
}
