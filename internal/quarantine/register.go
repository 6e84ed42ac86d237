package quarantine

import "github.com/sloelift/sloelift/internal/replica"

// Key names a message: a digest of what its attempts share.
type Key [16]byte

// Verdict says whether a message may be sent to a replica.
type Verdict int

const (
	// Allowed messages may run anywhere.
	Allowed Verdict = iota
	// Apart says that the message is suspected: it may run where no other message runs.
	Apart
	// Rejected messages are sent to no replica.
	Rejected
)

// Ending is how the run of a message at a replica ended.
type Ending int

const (
	// Whole runs came to their end: the message does not crash replicas.
	Whole Ending = iota
	// Lost runs ended with the connection, or with no answer: the replica may have ended under the message.
	Lost
	// Other runs say nothing of the message: the caller left, the node cut it off, the replica did not run it.
	Other
)

// Register keeps what is known of messages. It is safe for concurrent use.
type Register interface {
	// Check says whether the message may be sent now.
	Check(key Key) Verdict
	// Begin notes that the message is sent to the replica; end is called once with how its run ended.
	Begin(key Key, handle *replica.Handle) (end func(Ending))
}
