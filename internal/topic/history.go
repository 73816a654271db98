package topic

import (
	"sort"

	"oxbowdeck/internal/ids"
)

// itemOverhead is about how many bytes a message takes beside its body.
const itemOverhead = 64

// Item is one message in a topic's history.
type Item struct {
	_      struct{} `cbor:",toarray"`
	Pos    ids.Position
	Client ids.Client
	Seq    ids.Seq
	Body   []byte
	At     ids.Millis
	Keep   ids.Millis
}

// size is about how many bytes a message takes.
func (i *Item) size() int { return len(i.Body) + itemOverhead }

// Topic is a topic's kept history, and the last place that was let go of.
type Topic struct {
	_       struct{} `cbor:",toarray"`
	Items   []Item
	Trimmed ids.Position
	At      ids.Millis // last change
}

// topic gives a topic's history; one that is not known by name begins after what was let
// go of.
func (s *State) topic(name ids.Topic) *Topic {
	t := s.topics[name]
	if t == nil {
		t = &Topic{Trimmed: s.trimmed(name)}
		s.topics[name] = t
	}
	return t
}

// trimmed gives the last place that was let go of in a topic that is not known by name.
func (s *State) trimmed(name ids.Topic) ids.Position {
	if place := s.quiet.trimmed(name); place > 0 {
		return place
	}
	return s.forgottenUpTo
}

// appendItem takes a message into its topic's history.
func (s *State) appendItem(command *Command, pos ids.Position) {
	t := s.topic(command.Topic)
	t.At = s.Clock()
	keep := command.Keep
	if keep <= 0 {
		keep = s.Bounds.Live
	}
	item := Item{
		Pos:    pos,
		Client: command.Client,
		Seq:    command.Seq,
		Body:   command.Body,
		At:     s.Clock(),
		Keep:   keep,
	}
	t.Items = append(t.Items, item)
	s.bytes += item.size()
}

// After gives a topic's messages after a place; ok is false when some of them
// are no longer held.
func (s *State) After(name ids.Topic, pos ids.Position) (items []Item, ok bool) {
	t := s.topics[name]
	if t == nil {
		return nil, pos >= s.trimmed(name)
	}
	i := sort.Search(len(t.Items), func(i int) bool { return t.Items[i].Pos > pos })
	return t.Items[i:], pos >= t.Trimmed
}
