package operator

import (
	"sync/atomic"

	"github.com/sloelift/sloelift/internal/config"
)

// Readiness is whether the node accepts new work. A planned stop turns it off first, so
// that load balancers use other nodes. It is safe for concurrent use.
type Readiness struct {
	reason atomic.Pointer[string]
	// inForce is set before the server starts. If it is nil, no configuration is required.
	inForce config.Source
}

const (
	reasonStarting        = "starting"
	reasonNoConfiguration = "no configuration in force"
	// ReasonStopping is the reason during a planned stop.
	ReasonStopping = "stopping"
)

// NewReadiness returns a Readiness that is off because the node is starting.
func NewReadiness() *Readiness {
	readiness := &Readiness{}
	readiness.TurnOff(reasonStarting)
	return readiness
}

// TurnOff makes the node unready; reason is shown to operators.
func (r *Readiness) TurnOff(reason string) { r.reason.Store(&reason) }

// Ready reports whether the node is ready, and if not, why.
func (r *Readiness) Ready() (ready bool, reason string) {
	current := r.reason.Load()
	if current != nil {
		return false, *current
	}
	if r.inForce != nil && r.inForce.Current().Revision == 0 {
		return false, reasonNoConfiguration
	}
	return true, ""
}

// turnOnAfterStart makes the node ready unless a stop has begun.
func (r *Readiness) turnOnAfterStart() {
	current := r.reason.Load()
	if current != nil && *current == reasonStarting {
		r.reason.CompareAndSwap(current, nil)
	}
}
