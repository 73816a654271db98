package invariant

// Name names an invariant. The names are the values of a metric's label, so all of them are
// in this list; docs/promises.md tells what each one is about.
type Name string

// The invariants there are.
const (
	// AcceptedIsSynced: a replica says that it accepted an instance once that is on its disk.
	AcceptedIsSynced Name = "accepted-is-synced"
	// DecidedByMajority: an instance is decided once a majority accepted it in the leader's epoch.
	DecidedByMajority Name = "decided-by-majority"
	// DecidedOnce: two values are never decided for one instance.
	DecidedOnce Name = "decided-once"
	// AppliedInOrder: decided instances are applied one after the other, each once.
	AppliedInOrder Name = "applied-in-order"
	// EpochNeverFalls: what a replica promised never falls within an incarnation.
	EpochNeverFalls Name = "epoch-never-falls"
	// ReleaseNeverFalls: the configuration a process serves by never falls within an incarnation.
	ReleaseNeverFalls Name = "release-never-falls"
	// AnsweredWithinLease: nothing is answered from a state older than its lease.
	AnsweredWithinLease Name = "answered-within-lease"
	// OneSuccessor: one configuration alone is acknowledged on top of each version.
	OneSuccessor Name = "one-successor"
	// DeliveredInOrder: the positions of a subscription rise.
	DeliveredInOrder Name = "delivered-in-order"
	// SenderInOrder: the numbers of a sender rise on a topic, so none is applied twice.
	SenderInOrder Name = "sender-in-order"
	// RetryIsFinal: a publish that was answered RETRY is never applied afterwards.
	RetryIsFinal Name = "retry-is-final"
	// AnswerBelongs: an answer goes to the client and the request that it belongs to.
	AnswerBelongs Name = "answer-belongs"
	// OneAttemptPerSequence: a sequence has one attempt under way.
	OneAttemptPerSequence Name = "one-attempt-per-sequence"
	// AttemptsWithinBudget: a message is not sent after its last attempt.
	AttemptsWithinBudget Name = "attempts-within-budget"
	// CommandsRun: a replica leaves no decided command out.
	CommandsRun Name = "commands-run"
	// GrantsWithinBudget: no more tokens are granted than are in a tenant's account.
	GrantsWithinBudget Name = "grants-within-budget"
	// QueuesBounded: what waits for a peer, a client or a disk stays within its bound.
	QueuesBounded Name = "queues-bounded"
)

var names = [...]Name{
	AcceptedIsSynced, DecidedByMajority, DecidedOnce, AppliedInOrder, EpochNeverFalls,
	ReleaseNeverFalls, AnsweredWithinLease, OneSuccessor, DeliveredInOrder, SenderInOrder,
	RetryIsFinal, AnswerBelongs, OneAttemptPerSequence, AttemptsWithinBudget,
	GrantsWithinBudget, QueuesBounded, CommandsRun,
}

// Names lists all invariants.
func Names() []Name { return names[:] }
