// Package proposals puts the requests that edges forward to the leader of a
// group, and answers the edge: what was turned away, and what is decided already.
// Both kinds of deployment use it; what a request means belongs to their state
// machines.
package proposals

import (
	"errors"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/transport"
)

// What may become of a request beside the engine's own errors.
var (
	// ErrPending tells that it is not known yet; the edge is told later.
	ErrPending = errors.New("proposals: pending")
	// ErrDecided tells that Decided has the outcome.
	ErrDecided = errors.New("proposals: decided before")
	// ErrOverQuota tells that the tenant is at its limit.
	ErrOverQuota = errors.New("proposals: over quota")
)

// Handler is how a kind of deployment treats one request.
type Handler struct {
	// Decided looks up the outcome of a request that was forwarded before.
	Decided func(paxos.Request) (shardapi.Outcome, bool)
	// Submit gives a request to the group's leader, if it is here.
	Submit func(paxos.Request) error
}

// Answer is what the edge is told about a proposal.
type Answer struct {
	deny      shardapi.Deny
	overQuota shardapi.QuotaDenied
	decided   []shardapi.Outcome
}

// Submit treats each request of a proposal.
func Submit(proposal shardapi.Propose, handler Handler) Answer {
	answer := newAnswer(proposal.Group)
	for _, request := range proposal.Reqs {
		if proposal.Again && answer.addDecided(request, handler) {
			continue
		}
		err := handler.Submit(request)
		if errors.Is(err, ErrDecided) && answer.addDecided(request, handler) {
			continue
		}
		answer.add(request.ID, err)
	}
	return answer
}

// Denied is the answer about one request whose submission ended with an error, or none.
func Denied(group ids.Group, id paxos.ID, err error) Answer {
	answer := newAnswer(group)
	answer.add(id, err)
	return answer
}

func newAnswer(group ids.Group) Answer {
	return Answer{deny: shardapi.Deny{Group: group}, overQuota: shardapi.QuotaDenied{Group: group}}
}

// addDecided adds the outcome of a request that is decided, and tells whether it is.
func (a *Answer) addDecided(request paxos.Request, handler Handler) bool {
	outcome, ok := handler.Decided(request)
	if ok {
		a.decided = append(a.decided, outcome)
	}
	return ok
}

// add adds what came of the submission of a request.
func (a *Answer) add(id paxos.ID, err error) {
	switch {
	case err == nil, errors.Is(err, ErrPending):
	case errors.Is(err, ErrOverQuota):
		a.overQuota.IDs = append(a.overQuota.IDs, id)
	default:
		a.deny.Full = errors.Is(err, paxos.ErrFull)
		a.deny.IDs = append(a.deny.IDs, id)
	}
}

// EachRefused visits the requests that were turned away, with the reason.
func (a Answer) EachRefused(visit func(id paxos.ID, reason string)) {
	why := "it does not lead"
	if a.deny.Full {
		why = "it is full"
	}
	for _, id := range a.deny.IDs {
		visit(id, why)
	}
	for _, id := range a.overQuota.IDs {
		visit(id, "the tenant is at its limit")
	}
}

// Denied tells whether a request was turned away.
func (a Answer) Denied() bool { return len(a.deny.IDs)+len(a.overQuota.IDs) > 0 }

// Send sends the answer, if there is anything to tell.
func (a Answer) Send(link *transport.Link) {
	if len(a.deny.IDs) > 0 {
		link.Send(shardapi.KindDeny, a.deny)
	}
	if len(a.overQuota.IDs) > 0 {
		link.Send(shardapi.KindQuotaDenied, a.overQuota)
	}
	if len(a.decided) > 0 {
		link.Send(shardapi.KindKnown, shardapi.Flow{Outcomes: a.decided})
	}
}
