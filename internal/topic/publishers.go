package topic

import (
	"cmp"
	"slices"

	"oxbowdeck/internal/ids"
)

// acceptedCall is a call number that was accepted.
type acceptedCall struct {
	_   struct{} `cbor:",toarray"`
	Seq ids.Seq
	At  ids.Millis
}

// publisher is what is known of one client's calls on one topic.
type publisher struct {
	_      struct{}       `cbor:",toarray"`
	High   ids.Seq        // the highest accepted number
	Recent []acceptedCall // numbers and times rise: only what is above High is accepted
	At     ids.Millis     // when it was last accepted from
}

// publisherKey names a client on a topic.
type publisherKey struct {
	_      struct{} `cbor:",toarray"`
	Client ids.Client
	Topic  ids.Topic
}

// compare orders keys by client, then topic.
func (k publisherKey) compare(other publisherKey) int {
	return cmp.Or(cmp.Compare(k.Client, other.Client), cmp.Compare(k.Topic, other.Topic))
}

// publish takes a message unless its number was accepted or passed over before.
func (s *State) publish(command *Command, pos ids.Position) Verdict {
	key := publisherKey{Client: command.Client, Topic: command.Topic}
	p := s.publishers[key]
	if p == nil {
		if verdict := s.forgottenClients.verdict(command); verdict != Fresh {
			return verdict
		}
		p = &publisher{}
		s.publishers[key] = p
	}
	if p.accepted(command.Seq) {
		return Again
	}
	if command.Seq <= p.High && p.High != 0 {
		return Refused
	}
	p.accept(command.Seq, s.Clock(), s.Bounds.Resend)
	s.appendItem(command, pos)
	return Fresh
}

// accepted tells whether a number was accepted lately.
func (p *publisher) accepted(seq ids.Seq) bool {
	_, found := slices.BinarySearchFunc(p.Recent, seq, func(call acceptedCall, seq ids.Seq) int {
		return cmp.Compare(call.Seq, seq)
	})
	return found
}

// accept remembers a number, and lets go of those that are older than keep. A busy client has
// tens of thousands of them, so each is looked at once, when it goes.
func (p *publisher) accept(seq ids.Seq, now, keep ids.Millis) {
	p.High = seq
	p.At = now
	old := 0
	for old < len(p.Recent) && now-p.Recent[old].At > keep {
		old++
	}
	p.Recent = append(p.Recent[old:], acceptedCall{Seq: seq, At: now})
}

// Known tells the verdict of a call that is decided already.
func (s *State) Known(client ids.Client, topic ids.Topic, seq ids.Seq) (Verdict, bool) {
	p := s.publishers[publisherKey{Client: client, Topic: topic}]
	if p == nil || seq > p.High {
		return 0, false
	}
	if p.accepted(seq) {
		return Again, true
	}
	return Refused, true
}
