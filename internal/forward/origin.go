package forward

import "github.com/sloelift/sloelift/internal/replica"

// noteBegun notes that the first event of this answer came from a run of the given origin.
func (e *exchange) noteBegun(attempt replica.Origin) {
	if e.origin.IsZero() {
		e.origin = attempt
	}
}
