package dispatch

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/proposals"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// Frame takes a frame of an edge or of another host; it tells whether it was one. Proposals
// are the store's, which keeps records of them, and come by Handler and Answer.
func (h *Host) Frame(link *transport.Link, kind transport.Kind, body []byte) bool {
	switch kind {
	case shardapi.KindWho:
		shardapi.Handle(body, func(x shardapi.Who) { h.tellLeader(link, x.Group) })
	case shardapi.KindState:
		shardapi.Handle(body, func(x shardapi.State) { h.tellState(link, x) })
	case shardapi.KindGrant:
		shardapi.Handle(body, func(x shardapi.Grant) { h.grant(h.Now(), x) })
	case shardapi.KindGranted:
		shardapi.Handle(body, func(x shardapi.Granted) { h.granted(h.Now(), x) })
	default:
		return false
	}
	return true
}

// tellLeader tells who leads a group, as far as it is known here.
func (h *Host) tellLeader(link *transport.Link, id ids.Group) {
	group := h.Group(id)
	if group == nil {
		return
	}
	if node, _ := group.Lead(); node != "" {
		link.Send(shardapi.KindLead, shardapi.Lead{Group: id, Node: node})
	}
}

// Handler is how requests of a group that came over a link are treated: messages that edges
// hand in, and the ends of attempts from hosts that led before.
func (h *Host) Handler(link *transport.Link, id ids.Group) proposals.Handler {
	group := h.Group(id)
	shard := h.shards[id]
	return proposals.Handler{
		Decided: func(request paxos.Request) (shardapi.Outcome, bool) {
			known := shard != nil && shard.state.Find(request.ID.Origin) != nil
			return shardapi.Outcome{ID: request.ID}, known
		},
		Submit: func(request paxos.Request) error {
			if group == nil {
				return paxos.ErrNotLeader
			}
			if h.Full() && !endsAttempts(request) {
				return paxos.ErrFull
			}
			if err := group.Submit(request); err != nil {
				return err
			}
			shard.notices.add(request.ID, link)
			return nil
		},
	}
}

// endsAttempts tells whether a request reports the ends of attempts. They take no room, and
// only who sent the attempts knows of them.
func endsAttempts(request paxos.Request) bool {
	verb, ok := queue.VerbOf(request.Data)
	return ok && verb == queue.End
}

// Answer tells an edge what became of requests that it put to a group, and who leads the
// group if any were turned away.
func (h *Host) Answer(link *transport.Link, id ids.Group, answer proposals.Answer) {
	if answer.Denied() {
		h.tellLeader(link, id)
	}
	answer.Send(link)
}

// Notify has a link told when a message that waits for its decision here is accepted.
func (h *Host) Notify(link *transport.Link, id ids.Group, message paxos.ID) {
	if shard := h.shards[id]; shard != nil {
		shard.notices.add(message, link)
	}
}

// tellState answers how a message stands here. Who can't be sure that there is none says who
// leads the group, which may have changed since the edge that asks heard of it.
func (h *Host) tellState(link *transport.Link, request shardapi.State) {
	shard := h.shards[request.Group]
	group := h.Group(request.Group)
	if shard == nil || group == nil {
		return
	}
	_, leads := group.Lead()
	answer := shardapi.Stated{Req: request.Req, Group: request.Group, Leads: leads}
	row := shard.find(request.ID)
	if row == nil && (!leads || !group.Fresh(h.Now())) {
		h.tellLeader(link, request.Group) // a replica may lag, and a leader that is cut off as well
		return
	}
	if row != nil {
		answer.Known = true
		answer.Outcome = uint8(row.Outcome)
		answer.Seal = row.Seal
		if request.Body {
			answer.Packed = row.Msg.Packed
			answer.Body = row.Msg.Body
		}
	}
	link.Send(shardapi.KindStated, answer)
}

// find gives the message that is meant by a name: that of the tenant who asks, or else one
// of that id which is nobody's, and which all may ask for.
func (s *Shard) find(name string) *queue.Row {
	if row := s.state.Find(name); row != nil {
		return row
	}
	return s.state.Find(queue.IDOf(name))
}
