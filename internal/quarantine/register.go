package quarantine

import (
	"context"

	"github.com/sloelift/sloelift/internal/replica"
)

// ReasonRejected is the reason given in the answer to a request, or in a dead letter, whose message is Rejected.
const ReasonRejected = "crashes_replicas"

// Verdict is the decision whether a message may be sent to a replica.
type Verdict int

const (
	// Allowed messages may run anywhere.
	Allowed Verdict = iota
	// Apart messages are suspected of crashing replicas. They may run only where no other suspect runs, and once at a
	// time over all nodes.
	Apart
	// Rejected messages are sent to no replica. As batch items they are retried with a growing delay.
	Rejected
)

var verdictNames = map[Verdict]string{Allowed: "allowed", Apart: "apart", Rejected: "rejected"}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Ending is how the run of a message at a replica ended.
type Ending int

const (
	// Whole runs delivered the answer from its beginning to its end: the message does not crash replicas.
	Whole Ending = iota
	// Lost runs ended with their connection or without an answer: the replica may have ended under the message.
	Lost
	// Interrupted runs are lost runs that had produced events which a further run need not repeat. If one lasted longer
	// than shortRunDuration, the end of its replica does not count against a request: each further run resumes after
	// those events, so that the message still completes. It counts against an item, but does not make it Apart on its
	// own.
	Interrupted
	// Expired runs are interrupted runs that this node cut off when their lease was over and whose replica did not take the
	// next one. The replica may have ended at a later point of the answer than this node received, if it was paused.
	Expired
	// Aborted runs were aborted by this node: the caller disconnected, or this node cut the run off or found it silent.
	// The replica may continue to work on it for a while.
	Aborted
	// Other runs are no evidence about the message: the replica did not run it, or answered with a failure.
	Other
)

// Permit is the permission to run a message once. It is released by Release.
type Permit interface {
	// Verdict is Allowed, Apart or Rejected. A Rejected message must not be sent.
	Verdict() Verdict
	// Occupied returns the replicas at which this node runs other suspects. A message that is Apart should be sent
	// elsewhere. For other messages it returns nil.
	Occupied() []*replica.Handle
	// Begin reports that the message is sent to the replica. cut, unless nil, is called at most once, when the message
	// becomes suspected because of a run elsewhere: the run must then end, and a further run needs its own Permit.
	Begin(handle *replica.Handle, cut func()) Run
	// Release releases the permit. It may be called at any time and repeatedly.
	Release()
}

// Run is one execution of a message at a replica.
type Run interface {
	// Received reports events of the answer as they arrive.
	Received(events int)
	// Progress reports the number of events in the message's answer when the run began and the number now, if a further
	// run resumes after them. It is called before End, if at all.
	Progress(from, to int)
	// End reports how the run ended; it is called once. After Lost, Interrupted and Expired it waits for an inquiry into the
	// replica and returns whether the replica's process has ended.
	End(ctx context.Context, ending Ending) (replicaEnded bool)
}

// RecordedEnd is the end of a replica under a message as recorded by the message's owner.
type RecordedEnd struct {
	Replica replica.Key
	// Reached is the number of events in the message's answer when the replica ended, valid if ReachedKnown is set.
	Reached      int
	ReachedKnown bool
	// Retry reports that the message was rejected before, and the run was a retry.
	Retry bool
}

// Register decides which messages may be sent to replicas, from what is known about them. It is safe for concurrent
// use.
type Register interface {
	// Check returns the current verdict on the message without waiting. parts are the keys of the shared parts of its prompt,
	// in order: the message is Rejected if one of them ends replicas, whatever else a message holds.
	Check(key Key, parts ...Key) Verdict
	// Admit returns the permit that tells whether the message may be sent. It returns at once for a message that is not
	// suspected. For a suspected one it waits, for a limited time, until no other run of it is under way at any node.
	Admit(ctx context.Context, key Key, parts ...Key) Permit
	// Recall adds ends of replicas under the message that its owner has recorded. It skips those that the message's
	// answer, which now has the given number of events, has progressed past.
	Recall(key Key, ended []RecordedEnd, events int)
}

// ItemRegister is a Register for batch items. No caller waits for their answers, so that their runs can be delayed.
type ItemRegister interface {
	Register
	// CheckItem returns the verdict on an item. Ends of unknown progress then count as ends of item runs, at all nodes. A
	// rejected message is Apart once RetryDelay has passed since the last end of a replica under it.
	CheckItem(key Key, parts ...Key) Verdict
	// AdmitItem is Admit for an item. Ends of replicas during runs of items reject the message only if one of these
	// runs was made under a keeper's grant, or from maxEndedWithProgress ends on. If the progress of several of these
	// runs is unknown, only the end of a deciding run rejects the message.
	AdmitItem(ctx context.Context, key Key, parts ...Key) Permit
	// HasEvidence reports whether any end of a replica counts against the message, even if it is still Allowed.
	HasEvidence(key Key) bool
	// NextEndRejects reports whether the item is Apart and one more ended replica may reject it, after marking its ends
	// as CheckItem does. It does so for each retry of a Rejected item.
	NextEndRejects(key Key) bool
	// Retries reports whether the message is Rejected, so that its next run as an item is a retry.
	Retries(key Key) bool
	// StableForRetry is Stable for the retry of a Rejected item: over a longer time, which differs from message to
	// message so that few retries begin at once.
	StableForRetry(key Key, service string) bool
	// Stable reports whether so few replicas of the service ended recently that the replica of a run there is unlikely to
	// end for a reason other than the message.
	Stable(service string) bool
}
