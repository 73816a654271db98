package edge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// recentLength is how many messages of a topic later ones are compared with.
const recentLength = 4

// recentMessage is a message as the decided order brought it.
type recentMessage struct {
	position ids.Position
	client   ids.Client
	seq      ids.Seq
}

// recentMessages is the last messages of a topic that came here, to compare the next one
// with: a sender's numbers rise with the positions, so none is applied twice.
type recentMessages struct {
	ring [recentLength]recentMessage
	next int
}

// check compares a message with those before it, and remembers it. What another replica
// brings once more has the positions it had.
func (r *recentMessages) check(topic ids.Topic, p ids.Position, client ids.Client, seq ids.Seq) {
	for i := range r.ring {
		m := &r.ring[i]
		if m.client != client || m.position == 0 {
			continue
		}
		if m.position == p && m.seq == seq {
			return // it came before
		}
		if (m.position < p) != (m.seq < seq) || m.position == p {
			invariant.Violated(invariant.SenderInOrder, "topic", topic, "client", client,
				"position", p, "seq", seq, "other_position", m.position, "other_seq", m.seq)
		}
	}
	r.ring[r.next] = recentMessage{position: p, client: client, seq: seq}
	r.next = (r.next + 1) % recentLength
}
