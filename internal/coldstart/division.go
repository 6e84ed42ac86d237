package coldstart

import (
	"math"

	"github.com/sloelift/sloelift/internal/route"
)

// requestsPerPass is the number of requests per second that a pass admits. Callers are spread evenly over the nodes of a fleet: a smaller
// pass would need more keys, each a cost, and leave more nodes without one; a larger pass would be mostly unused at a node with few callers.
const requestsPerPass = 3

// Bounds limit what a cold replica may get from all nodes within any second: the declared rate of its service times Burst, plus Slack requests.
type Bounds struct {
	Burst float64
	Slack float64
}

// passDivision is how the requests per second that one cold replica can take are divided into passes.
type passDivision struct {
	// passes is the number of passes; requests is how many requests per second each admits.
	passes   int
	requests int
}

// divide returns the passes of a cold replica of service.
//
// Invariant: passes times requests is at most the bound. If the declared rate allows at least one request, the slack is not divided.
func (b Bounds) divide(service route.Service) passDivision {
	declared := service.ColdRequestsPerSecond * b.Burst
	wholeRequests := int(math.Floor(declared))
	switch {
	case service.ColdRequestsPerSecond <= 0:
		return passDivision{}
	case wholeRequests >= requestsPerPass:
		return passDivision{passes: wholeRequests / requestsPerPass, requests: requestsPerPass}
	case wholeRequests > 0:
		return passDivision{passes: 1, requests: wholeRequests}
	case math.Floor(declared+b.Slack) >= 1:
		return passDivision{passes: 1, requests: 1}
	default:
		return passDivision{}
	}
}
