package fleet

import (
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
)

// Replica is one engine as this node knows it.
type Replica struct {
	ID       string
	Service  string
	Region   string
	Zone     string
	Endpoint engine.Endpoint
	// Leaving is true from the first sign of any source that the replica is going.
	Leaving bool
	// Failed is true while own calls find the replica unreachable.
	Failed bool
	// Load is the last report; HasLoad is false before the first one.
	Load    engine.LoadReport
	HasLoad bool
	// HeardAt is this node's time of the last report.
	HeardAt time.Time
	// Home is the member that asks the replica for its load and grants its credits; empty
	// where no member lives.
	Home membership.NodeID
}

// Directory is an immutable snapshot of all replicas, sorted by ID.
type Directory struct {
	Version  uint64
	Replicas []Replica
	// ByService holds indexes into Replicas.
	ByService map[string][]int
}

// Source gives the present directory; it is safe for concurrent use.
type Source interface {
	Directory() *Directory
	// Subscribe calls notify after each change until the returned function is called.
	// notify must not block.
	Subscribe(notify func(*Directory)) (unsubscribe func())
}

// Reporter takes evidence from calls to replicas; it is safe for concurrent use.
type Reporter interface {
	// ReportFailure notes that a call found the replica unreachable.
	ReportFailure(replica string)
	// ReportSuccess notes that a call got an answer.
	ReportSuccess(replica string)
	// ReportLeaving notes that the replica said it is leaving.
	ReportLeaving(replica string)
}

// RoleDraining is the engine role of a replica that serves out what it has and takes
// nothing new, so that its models can be changed.
const RoleDraining = "draining"

// Draining says whether the replica takes nothing new for now.
func (r *Replica) Draining() bool { return r.HasLoad && r.Load.Role == RoleDraining }
