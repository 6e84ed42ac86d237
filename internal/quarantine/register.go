package quarantine

import (
	"context"

	"github.com/sloelift/sloelift/internal/replica"
)

// ReasonRejected is the reason of an answer, or of a dead letter, whose message is Rejected.
const ReasonRejected = "crashes_replicas"

// Verdict says whether a message may be sent to a replica.
type Verdict int

const (
	// Allowed messages may run anywhere.
	Allowed Verdict = iota
	// Apart says that the message is suspected: it may run where no other suspect runs, once at a time over all nodes.
	Apart
	// Rejected messages are sent to no replica.
	Rejected
)

var verdictNames = map[Verdict]string{Allowed: "allowed", Apart: "apart", Rejected: "rejected"}

// String returns the verdict's name in the log.
func (v Verdict) String() string { return verdictNames[v] }

// Ending is how the run of a message at a replica ended.
type Ending int

const (
	// Whole runs went from the beginning of the answer to its end: the message does not crash replicas.
	Whole Ending = iota
	// Lost runs ended with the connection, or with no answer: the replica may have ended under the message.
	Lost
	// Interrupted runs are lost ones that had made events which a further run need not make again. One that lasted longer than shortRun is
	// not counted against a request: each further run starts behind those events, so that the message still comes to its end. Against an item it counts,
	// though alone it does not set it apart.
	Interrupted
	// Left runs were broken off from here: the caller left, this node cut it off or found it silent. The replica may work on it for a while.
	Left
	// Other runs say nothing of the message: the replica did not run it, or answered with a failure.
	Other
)

// Permit is the permission to run one message once.
type Permit interface {
	// Verdict is Allowed, Apart or Rejected; with the last the message must not be sent.
	Verdict() Verdict
	// Occupied are the replicas at which this node runs other suspects: one that runs apart is better sent elsewhere.
	Occupied() []*replica.Handle
	// Begin notes that the message is sent to the replica. cut, where it is not nil, is called at most once when the message becomes
	// suspected by a run elsewhere: the run must end, and a further one needs a Permit of its own.
	Begin(handle *replica.Handle, cut func()) Run
	// Release gives the permit back; it may be called at any time, and again.
	Release()
}

// Run is a message at a replica.
type Run interface {
	// Progress notes how many events of the message's answer there were when the run began and how many there are now, where a further run goes on
	// behind them. It is called before End, if at all.
	Progress(from, to int)
	// End notes how the run ended, once. After Lost and Interrupted it returns, a short while later, whether the replica's process has ended.
	End(ctx context.Context, ending Ending) (replicaEnded bool)
}

// RecordedEnd is the end of a replica under a message as its owner recorded it.
type RecordedEnd struct {
	Replica replica.Key
	// Reached is the number of events that the message's answer had then, where that is known.
	Reached      int
	ReachedKnown bool
}

// Register keeps what is known of messages. It is safe for concurrent use.
type Register interface {
	// Check says, without a wait, what is known of the message now.
	Check(key Key) Verdict
	// Admit says whether the message may be sent. For a message that is not suspected it returns at once; for one that is it waits,
	// within bounds, until no other run of it is under way at any node.
	Admit(ctx context.Context, key Key) Permit
	// Recall takes in replicas that ended under the message as its owner has recorded, but for those whose point the message's answer has passed, which has
	// events now.
	Recall(key Key, ended []RecordedEnd, events int)
}

// ItemRegister is the Register of messages for whose answer nobody waits, so that a run of them may be put off.
type ItemRegister interface {
	Register
	// AdmitItem is Admit for an item. Ends that runs of items met side by side reject the message at no number; one of them has to have run apart.
	AdmitItem(ctx context.Context, key Key) Permit
	// Counts says that the end of a replica counts against the message, also where it is still Allowed.
	Counts(key Key) bool
	// Decides says that the message is rejected if its next run ends one more replica.
	Decides(key Key) bool
	// Calm says that replicas of the service have ended so seldom of late that a run there hardly meets an end by chance.
	Calm(service string) bool
}
