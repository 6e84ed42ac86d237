package operator

import (
	"sync/atomic"

	"github.com/sloelift/sloelift/internal/config"
)

// Readiness tells whether the node takes new work. A planned stop turns it off
// first, so that load balancers go elsewhere. It is safe for concurrent use.
type Readiness struct {
	reason atomic.Pointer[string]
	// inForce is set before the server starts; nil asks for no configuration.
	inForce config.Source
}

const (
	reasonStarting        = "starting"
	reasonNoConfiguration = "no configuration in force"
	// ReasonStopping is the reason that a planned stop gives.
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

// Ready reports readiness, and the reason where it is off.
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

// turnOnAfterStart makes the node ready unless a stop has begun already.
func (r *Readiness) turnOnAfterStart() {
	current := r.reason.Load()
	if current != nil && *current == reasonStarting {
		r.reason.CompareAndSwap(current, nil)
	}
}
