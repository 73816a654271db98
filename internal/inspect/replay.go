package inspect

import (
	"crypto/sha256"
	"encoding/hex"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/topic"
)

// digestBytes is how much of a state's SHA-256 is shown.
const digestBytes = 8

// verbs names the commands of topics.
var verbs = map[topic.Verb]string{
	topic.Publish:     "publish",
	topic.Subscribe:   "subscribe",
	topic.Unsubscribe: "unsubscribe",
	topic.EdgeGone:    "edge-gone",
}

// machine is a shard's state, of either kind.
type machine interface {
	Load([]byte) error
	Save() ([]byte, error)
	apply(paxos.Decided)
}

// newMachine makes an empty state of a deployment's kind.
func (g *Group) newMachine(options Options, kind string) machine {
	if kind == settings.Queue {
		bounds := queue.Bounds{Report: options.Report, Sweep: queue.SweepEvery}
		return queueMachine{State: queue.New(bounds), group: g, options: options}
	}
	return topicMachine{State: topic.New(options.Bounds), group: g, options: options}
}

// topicMachine is the state of topics.
type topicMachine struct {
	*topic.State
	group   *Group
	options Options
}

func (m topicMachine) apply(decided paxos.Decided) {
	m.State.Apply(decided, func(event topic.Event) {
		if !m.wanted(event.Cmd) {
			return
		}
		m.options.OnEvent(*m.group, Event{
			Pos:     ids.Cursor(m.group.Group, event.Pos),
			Slot:    decided.Slot,
			Verb:    verbs[event.Cmd.Verb],
			Topic:   event.Cmd.Topic,
			Client:  event.Cmd.Client,
			Seq:     event.Cmd.Seq,
			Verdict: event.Verdict,
			Edge:    event.Cmd.Edge,
		})
	})
}

// wanted tells whether a command is of the topic and the client that are asked for.
func (m topicMachine) wanted(command *topic.Command) bool {
	if m.options.OnEvent == nil || m.options.Message != "" {
		return false
	}
	if m.options.Topic != "" && command.Topic != m.options.Topic {
		return false
	}
	return m.options.Client == "" || command.Client == m.options.Client
}

// queueMachine is the state of messages.
type queueMachine struct {
	*queue.State
	group   *Group
	options Options
}

func (m queueMachine) apply(decided paxos.Decided) {
	m.State.Apply(decided, func(event queue.Event) {
		if m.options.OnEvent != nil && event.Row != nil && event.Row.Msg.ID == m.options.Message {
			m.options.OnEvent(*m.group, m.describe(decided.Slot, event))
		}
	})
	m.group.Open = m.State.Open()
	m.group.Ended = m.State.Ended()
}

// describe tells what a command did to a message.
func (m queueMachine) describe(slot ids.Slot, event queue.Event) Event {
	told := Event{
		Pos:     ids.Cursor(m.group.Group, event.Row.Pos),
		Slot:    slot,
		Message: event.Row.Msg.ID,
		Try:     event.Attempt.Number,
		Edge:    event.By,
	}
	switch event.Verb {
	case queue.Accept:
		told.Verb = "accept"
	case queue.Begin:
		told.Verb = "begin"
		told.Try = event.Attempt.Number + 1
	default:
		told.Verb = "end"
		told.Outcome = event.Attempt.Outcome.String()
	}
	if !event.OK {
		told.Verb += "-refused"
	}
	return told
}

// replay runs the decided log through the shard's own Apply.
func (g *Group) replay(options Options, kind string) ([]Fault, error) {
	state := g.newMachine(options, kind)
	if g.snapshot != nil && len(g.snapshot.State) > 0 {
		if err := state.Load(g.snapshot.State); err != nil {
			return []Fault{g.fault(g.Snapshot, "%v", err)}, nil
		}
	}
	for slot := g.Snapshot + 1; slot <= g.Decided && (options.Stop == 0 || slot <= options.Stop); slot++ {
		entry, ok := g.entries[slot]
		if !ok {
			break
		}
		value, err := paxos.Decode(entry.Val)
		if err != nil {
			break
		}
		state.apply(paxos.Decided{Slot: slot, Value: value, Raw: entry.Val})
		g.At = slot
	}
	if g.At == 0 {
		g.At = g.Snapshot
	}
	saved, err := state.Save()
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(saved)
	g.Digest = hex.EncodeToString(digest[:digestBytes])
	return nil, nil
}
