package coldstart

import (
	"math"

	"github.com/sloelift/sloelift/internal/route"
)

// requestsPerPass is what one pass admits a second. A fleet of N nodes spreads its callers evenly: fewer requests in a pass would ask for
// more keys and leave more nodes without any, more would leave most of a pass to a node that has no callers for it.
const requestsPerPass = 3

// Bounds are what a cold replica may get in any second from all nodes together: what its service declares times Burst, and Slack requests.
type Bounds struct {
	Burst float64
	Slack float64
}

// division is how the requests a second that one cold replica can take are divided into passes.
type division struct {
	// passes is the number of passes, requests what each admits a second.
	passes   int
	requests int
}

// divide returns the passes of a cold replica of service.
//
// Invariant: passes times requests is at most the bound; where that allows a request without the slack, the slack is left over.
func (b Bounds) divide(service route.Service) division {
	declared := service.ColdRequestsPerSecond * b.Burst
	whole := int(math.Floor(declared))
	switch {
	case service.ColdRequestsPerSecond <= 0:
		return division{}
	case whole >= requestsPerPass:
		return division{passes: whole / requestsPerPass, requests: requestsPerPass}
	case whole > 0:
		return division{passes: 1, requests: whole}
	case math.Floor(declared+b.Slack) >= 1:
		return division{passes: 1, requests: 1}
	default:
		return division{}
	}
}
