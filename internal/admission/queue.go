package admission

import (
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

// waitingRequest is an online request in a serviceQueue. decided gets nil if the request is
// admitted and the refusal otherwise; it is buffered for one value.
type waitingRequest struct {
	tenant  string
	weight  int
	rank    int
	arrival uint64
	decided chan error
}

// serviceQueue holds the waiting online requests of one service on one node. The mutex of the
// RequestLimiter guards it.
type serviceQueue struct {
	waiting []*waitingRequest
	// inFlight counts requests that were admitted and not released yet.
	inFlight int
	// inFlightByTenant counts requests in flight, for fair sharing.
	inFlightByTenant map[string]int
	// meanServiceTime is the exponentially smoothed time from admission to release.
	meanServiceTime time.Duration
}

func newServiceQueue() *serviceQueue { return &serviceQueue{inFlightByTenant: make(map[string]int)} }

// next returns the index of the request to admit next, or -1 if none waits: the highest rank,
// then the tenant with the fewest requests in flight per weight, then the earliest arrival.
func (q *serviceQueue) next() int {
	best := -1
	for index := range q.waiting {
		if best < 0 || q.precedes(q.waiting[index], q.waiting[best]) {
			best = index
		}
	}
	return best
}

// precedes reports whether request a is admitted before request b.
func (q *serviceQueue) precedes(a, b *waitingRequest) bool {
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	// inFlight(a)/weight(a) < inFlight(b)/weight(b), without division.
	shareA, shareB := q.inFlightByTenant[a.tenant]*b.weight, q.inFlightByTenant[b.tenant]*a.weight
	if shareA != shareB {
		return shareA < shareB
	}
	return a.arrival < b.arrival
}

// displaceable returns the index of the request that one of higher rank may displace, or -1 if
// none waits: the lowest rank, then the latest arrival.
func (q *serviceQueue) displaceable() int {
	worst := -1
	for index, candidate := range q.waiting {
		if worst < 0 || candidate.rank < q.waiting[worst].rank ||
			candidate.rank == q.waiting[worst].rank && candidate.arrival > q.waiting[worst].arrival {
			worst = index
		}
	}
	return worst
}

// removeAt removes and returns the request at index.
func (q *serviceQueue) removeAt(index int) *waitingRequest {
	removed := q.waiting[index]
	q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
	return removed
}

// remove removes a request and reports whether it was still waiting.
func (q *serviceQueue) remove(request *waitingRequest) bool {
	for index, candidate := range q.waiting {
		if candidate == request {
			q.removeAt(index)
			return true
		}
	}
	return false
}

func (q *serviceQueue) admitted(tenant string) {
	q.inFlight++
	q.inFlightByTenant[tenant]++
}

func (q *serviceQueue) released(tenant string, serviceTime time.Duration) {
	q.inFlight--
	if q.inFlightByTenant[tenant]--; q.inFlightByTenant[tenant] == 0 {
		delete(q.inFlightByTenant, tenant)
	}
	const smoothing = 8
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
	} else {
		q.meanServiceTime += (serviceTime - q.meanServiceTime) / smoothing
	}
}

// expectedWait estimates how long a request of the given rank would wait, from the rate at which
// requests end. It is 0 if that is unknown.
func (q *serviceQueue) expectedWait(rank int) time.Duration {
	ahead := 1
	for _, candidate := range q.waiting {
		if candidate.rank >= rank {
			ahead++
		}
	}
	if q.inFlight == 0 {
		return 0
	}
	return time.Duration(ahead) * q.meanServiceTime / time.Duration(q.inFlight)
}

// Bounds of the RetryAfter of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refusal returns the error for a request that reached no engine. wait is clamped to the bounds
// of RetryAfter.
func refusal(reason outcome.Reason, message string, wait time.Duration) *outcome.Error {
	return outcome.New(outcome.NotRun, reason, message).After(min(max(wait, minRetryAfter), maxRetryAfter))
}
