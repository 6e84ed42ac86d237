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
	// Leaving is true once any source has reported that the replica is leaving; it is never reset.
	Leaving bool
	// Failed is true during the backoff after this node's calls found the replica unreachable.
	Failed bool
	// Load is the latest report; HasLoad is false before the first one and while the
	// replica is unreachable.
	Load    engine.LoadReport
	HasLoad bool
	// HeardAt is the time, by this node's clock, at which a report was last received.
	HeardAt time.Time
	// Home is the member that polls the replica for its load and grants its credits; empty
	// if there is no live member.
	Home membership.NodeID
}

// Directory is an immutable snapshot of all replicas, sorted by ID.
type Directory struct {
	Version  uint64
	Replicas []Replica
	// ByService holds indexes into Replicas.
	ByService map[string][]int
}

// Source provides the current directory; it is safe for concurrent use.
type Source interface {
	Directory() *Directory
	// Subscribe calls notify after each change until the returned function is called.
	// notify must not block.
	Subscribe(notify func(*Directory)) (unsubscribe func())
}

// Reporter receives the outcomes of calls to replicas; it is safe for concurrent use.
type Reporter interface {
	// ReportFailure reports that a call found the replica unreachable.
	ReportFailure(replica string)
	// ReportSuccess reports that a call got a response.
	ReportSuccess(replica string)
	// ReportLeaving reports that the replica announced that it is leaving.
	ReportLeaving(replica string)
}

// RoleDraining is the engine role of a replica that finishes its requests and takes no
// new ones, so that its models can be changed.
const RoleDraining = "draining"

// Draining reports whether the replica's latest report has RoleDraining.
func (r *Replica) Draining() bool { return r.HasLoad && r.Load.Role == RoleDraining }
