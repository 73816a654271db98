package topic

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/statemachine"
)

// Bounds of what a state holds. They are part of the group's agreement: every
// replica of a group runs with the same.
type Bounds struct {
	Slack      ids.Millis // history is kept this much longer than the space asks
	Resend     ids.Millis // accepted numbers are remembered this long
	Late       ids.Millis // after an acceptance its client may write that number, or a lower one, for so long
	Publishers int        // most (client, topic) pairs whose numbers are remembered
	Clients    int        // most clients of forgotten pairs whose highest number is remembered
	Topics     int        // most topics remembered by name without history
	Quiet      int        // most topics remembered beside them, each by its last place
	Live       ids.Millis // history of a space that keeps none
	SweepMs    ids.Millis // how often old things are looked for
}

// State is one shard's agreed state.
type State struct {
	Bounds             Bounds
	progress           statemachine.Progress
	topics             map[ids.Topic]*Topic
	quiet              quietTopics  // topics without history that are in topics no more
	forgottenUpTo      ids.Position // topics that are not in quiet either lie below
	publishers         map[publisherKey]*publisher
	forgottenClients   forgottenClients
	subscriptions      map[ids.Topic]map[ids.Client]subscription
	endedSubscriptions map[subscriptionKey]endedSubscription
	accounts           *quota.Ledger // of the tenants whose home this shard is
	bytes              int
	forgotten          Forgotten // since this replica was opened
}

// Forgotten counts what a replica has let go of because its tables were full.
type Forgotten struct {
	Publishers int // clients on a topic, with their numbers
	Clients    int // clients' highest numbers
	Topics     int // topics without history
	Quiet      int // last places of such topics
}

// New starts an empty state.
func New(bounds Bounds) *State {
	return &State{
		Bounds:             bounds,
		topics:             map[ids.Topic]*Topic{},
		publishers:         map[publisherKey]*publisher{},
		subscriptions:      map[ids.Topic]map[ids.Client]subscription{},
		endedSubscriptions: map[subscriptionKey]endedSubscription{},
		forgottenClients:   newForgottenClients(),
		accounts:           quota.NewLedger(),
	}
}

// Slot is the newest instance applied.
func (s *State) Slot() ids.Slot { return s.progress.Slot }

// Clock is the decided time.
func (s *State) Clock() ids.Millis { return s.progress.Clock }

// Bytes is about how many bytes the history and the quiet topics take.
func (s *State) Bytes() int { return s.bytes + s.quiet.count*quietBytes }

// Forgotten counts what was let go of since this replica was opened.
func (s *State) Forgotten() Forgotten { return s.forgotten }

// Clients is how many clients of forgotten pairs have their highest number remembered.
func (s *State) Clients() int { return len(s.forgottenClients.marks) }

// Publishers is how many clients on a topic have their numbers remembered.
func (s *State) Publishers() int { return len(s.publishers) }

// Quiet is how many topics are remembered by their last place alone.
func (s *State) Quiet() int { return s.quiet.count }

// Topics is how many topics are remembered by name, with history or without.
func (s *State) Topics() int { return len(s.topics) }

// End is the place after everything applied.
func (s *State) End() ids.Position { return ids.EndOf(s.Slot()) }

// Apply runs a decided instance. What it emits is in the order of the log.
func (s *State) Apply(decided paxos.Decided, emit func(Event)) {
	s.progress.Advance(decided)
	statemachine.EachCommand(decided, func(id paxos.ID, pos ids.Position, command *Command) {
		s.run(id, pos, command, emit)
	})
	if s.progress.SweepDue(s.Bounds.SweepMs) {
		s.sweep()
	}
}

// run applies one command.
func (s *State) run(id paxos.ID, pos ids.Position, command *Command, emit func(Event)) {
	event := Event{ID: id, Cmd: command, Pos: pos}
	switch command.Verb {
	case Publish:
		event.Verdict = s.publish(command, pos)
		emit(event)
	case Subscribe:
		s.subscribe(command)
		emit(event)
	case Unsubscribe:
		s.unsubscribe(command)
		emit(event)
	case EdgeGone:
		s.endEdge(EdgeIncarnation{Edge: command.Edge, Incarnation: command.Incarnation})
	case Reserve:
		if command.Reserve != nil {
			event.Granted = s.accounts.Apply(s.progress.Clock, *command.Reserve)
			emit(event)
		}
	default:
		err := statemachine.UnknownVerbError(command.Verb)
		statemachine.LeftOut{Slot: pos.Slot(), ID: id, Err: err}.Report()
	}
}
