package dispatch

import (
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// noticesPerMessage bounds the links that are told of the same message.
const noticesPerMessage = 4

// notices are the links that are told that a message was accepted.
type notices struct {
	waiting map[paxos.ID][]*transport.Link
	ready   map[*transport.Link]*shardapi.Flow
}

func newNotices() notices {
	return notices{
		waiting: map[paxos.ID][]*transport.Link{},
		ready:   map[*transport.Link]*shardapi.Flow{},
	}
}

// add has a link told of a message. A request that is no message has a number.
func (n *notices) add(id paxos.ID, link *transport.Link) {
	if id.Seq == 0 && len(n.waiting[id]) < noticesPerMessage {
		n.waiting[id] = append(n.waiting[id], link)
	}
}

// accepted makes the notices of a message ready to be sent.
func (n *notices) accepted(id paxos.ID) {
	for _, link := range n.waiting[id] {
		flow := n.ready[link]
		if flow == nil {
			flow = &shardapi.Flow{}
			n.ready[link] = flow
		}
		flow.Outcomes = append(flow.Outcomes, shardapi.Outcome{ID: id})
	}
	delete(n.waiting, id)
}

// send sends what is ready.
func (n *notices) send() {
	for link, flow := range n.ready {
		link.Send(shardapi.KindKnown, *flow)
	}
	clear(n.ready)
}

// drop forgets who waits.
func (n *notices) drop() { clear(n.waiting) }
