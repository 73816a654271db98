package httpedge

import (
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/queue"
	"oxbowdeck/internal/shardapi"
)

// inquiry is a question how a message stands, under way.
type inquiry struct {
	question shardapi.State
	groups   map[ids.Group]bool // not heard yet
	since    ids.Millis
	sentAt   ids.Millis // when it was last put; 0: not yet
	deadline ids.Millis
	answer   chan inquiryResult

	redirects int // how often it was put to a leader that became known meanwhile
}

// inquiryResult is how a message stands.
type inquiryResult struct {
	stated shardapi.Stated // if known
	known  bool            // a replica has it
	sure   bool            // else: every group was heard
}

const (
	inquiryTimeout = ids.Millis(1800) // within what askers wait
	inquiryRepeat  = ids.Millis(250)
	inquiryWiden   = inquiryRepeat // leaders do not answer: any replica may

	// maxRedirects bounds how often one inquiry follows a change of leader at once: stores may
	// name each other.
	maxRedirects = 3
)

// inquire asks the leader of a message's group how it stands; when that does not
// answer, every replica: what one knows is right, if perhaps late. It is told of a tenant's
// messages and of those that are nobody's.
func (d *Daemon) inquire(tenant ids.Tenant, name string, body bool) inquiryResult {
	answer := make(chan inquiryResult, 1)
	d.core.Actor.Do(func() { d.beginInquiry(ids.MonotonicNow(), tenant, name, body, answer) })
	return <-answer
}

// beginInquiry asks the group that a message's name tells; all, if it tells none.
func (d *Daemon) beginInquiry(
	now ids.Millis, tenant ids.Tenant, name string, body bool, answer chan inquiryResult,
) {
	d.lastAsk++
	g, id, ok := parseMessageName(name, d.core.Shards())
	a := &inquiry{
		question: shardapi.State{Req: d.lastAsk, ID: queue.Name(tenant, id), Body: body},
		groups:   map[ids.Group]bool{},
		since:    now, deadline: now + inquiryTimeout, answer: answer,
	}
	if ok {
		a.groups[g] = true
	} else {
		for n := range d.core.Shards() {
			a.groups[ids.Group(n)] = true
		}
	}
	if len(d.inquiries) >= d.bounds.maxCalls || len(a.groups) == 0 {
		answer <- inquiryResult{}
		return
	}
	d.inquiries[a.question.Req] = a
	d.pursue(now, a.question.Req, a)
}

// pursue puts a question to the groups that have not answered, and gives it up in time.
func (d *Daemon) pursue(now ids.Millis, k uint64, a *inquiry) {
	if now >= a.deadline {
		delete(d.inquiries, k)
		a.answer <- inquiryResult{}
		return
	}
	if a.sentAt > 0 && now-a.sentAt < inquiryRepeat {
		return
	}
	for g := range a.groups {
		d.ask(now, a, g)
	}
	a.sentAt = now
}

// ask puts a question to a group: to its leader, or to every replica if that is not known or
// does not answer.
func (d *Daemon) ask(now ids.Millis, a *inquiry, g ids.Group) {
	question := a.question
	question.Group = g
	allReplicas := now-a.since >= inquiryWiden
	if x := d.leaders[g]; x != nil && x.node != "" && !allReplicas {
		d.core.Hub.To(x.node).Send(shardapi.KindState, question)
		return
	}
	if int(g) >= d.core.Shards() {
		return
	}
	for _, voter := range d.core.Control.Update.Shards[g].Voters {
		d.core.Hub.To(voter.Node).Send(shardapi.KindState, question)
	}
}

// redirectInquiries puts what a group was asked to the leader that has become known.
func (d *Daemon) redirectInquiries(now ids.Millis, g ids.Group) {
	for _, a := range d.inquiries {
		if !a.groups[g] || a.redirects >= maxRedirects {
			continue
		}
		a.redirects++
		a.sentAt = now
		d.ask(now, a, g)
	}
}

// answerInquiry takes a replica's answer.
func (d *Daemon) answerInquiry(x shardapi.Stated) {
	a := d.inquiries[x.Req]
	if a == nil {
		return
	}
	if x.Known {
		delete(d.inquiries, x.Req)
		a.answer <- inquiryResult{stated: x, known: true}
		return
	}
	if delete(a.groups, x.Group); len(a.groups) == 0 {
		delete(d.inquiries, x.Req)
		a.answer <- inquiryResult{sure: true}
	}
}
