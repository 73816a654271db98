// Package quota keeps the accepted messages of a tenant, over all machines, under
// the tenant's limit. Its parts are pure state machines: they know no socket, clock,
// file or goroutine; time comes in as an argument.
//
// The rule: in any window of W seconds of real time a tenant has at most
//
//	(rate*W + burst) * (1 + excess) + slack
//
// accepted messages, whatever dies, freezes, is cut off, restarts or takes over.
//
// # Parts
//
// A tenant has a home shard, which its label hashes to, and three parts work on it:
//
//   - [Ledger], a part of the home shard's replicated state, is a token bucket for each
//     tenant. It changes by decided [Reserve] commands alone, so each voter can succeed
//     with the account as it stands.
//   - [Counter], at the leader of the home shard, reserves a chunk of tokens by one
//     decided command and grants from the chunk without deciding anything.
//   - [Holder], at a store that leads shards, admits messages with the tokens it was
//     granted, and asks the counter for more.
//
// Both rights lapse. A reservation may be granted from until [Budget.ReserveLife] after
// it was proposed, a grant may be used until [Budget.GrantLife] after it was asked for,
// each by the steady clock of the process that proposed or asked. So what is admitted in
// a window was reserved within the window or the two lives before it, whoever leads, and
// [Policy.Budget] sizes the bucket for the window and the two lives together.
//
// # Driving a ledger
//
// Each replica calls [Ledger.Apply] for each decided Reserve, in the decided order, with
// the decided time of its batch, and [Ledger.Sweep] now and then by decided time. The
// accounts are written into the shard's snapshot with [Ledger.Save] and [Ledger.Load].
//
// # Driving a counter
//
// When a store begins to lead a group it makes a counter, with the ballot of the
// leadership and the decided time at that moment (paxos.Core.Time); a counter is never
// carried over to another leadership. The store calls
//
//   - [Counter.Ask] for each ask that a holder sent,
//   - [Counter.Decided] when a reservation of this counter was applied here, with what
//     Ledger.Apply granted, or [Counter.Failed] when it could not be submitted,
//   - [Counter.Step] every few milliseconds, and [Counter.Resign] when it leads no more,
//
// and after each of them takes the effects with [Counter.Take]: reservations, which it
// submits at once and once each (an encoded Reserve as the request's data, and a request
// id made of ballot and number), and answers, which it sends to their holders. A request
// that waits in the store before it is submitted only loses life, so it is safe.
//
// # Driving a holder
//
// A store has one holder, for all shards that it leads. It calls
//
//   - [Holder.Admit] for each message before it is submitted to its shard; the message
//     is submitted when the decision is [Admitted] or [Unlimited], refused when it is
//     [Refused], and kept when it is [Waiting],
//   - [Holder.Granted] for each answer of a counter, and [Holder.Step] every few
//     milliseconds,
//
// and after each of them takes the effects with [Holder.Take]: asks, to be sent to the
// leader of the tenant's home shard, and the outcomes of messages that waited. An ask
// that is lost, or sent to a store that does not lead, is sent again by a later Step;
// [Holder.Redirect] has that done at once when a home shard has another leader.
//
// A message counts when it is admitted. The caller submits it in the same turn of its
// actor; the time from there to its decision is not covered by the two lives.
//
// Counter and holder look budgets up by a [Budgets] function of their caller, which
// answers by the newest configuration there.
package quota
