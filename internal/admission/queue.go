package admission

import (
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

// waitingRequest is one online request in a serviceQueue. decided gets nil when the
// request is admitted and the refusal otherwise; it has room for one value.
type waitingRequest struct {
	tenant  string
	weight  int
	rank    int
	arrival uint64
	decided chan error
}

// serviceQueue orders the waiting online requests of one service on one node. The
// limiter's mutex guards it.
type serviceQueue struct {
	waiting  []*waitingRequest
	inFlight int
	// byTenant counts requests in flight, for fair shares.
	byTenant map[string]int
	// meanHold is the smoothed time from admission to release.
	meanHold time.Duration
}

func newServiceQueue() *serviceQueue { return &serviceQueue{byTenant: make(map[string]int)} }

// next returns the index of the request to admit next: the highest rank, then the
// tenant with the least in flight for its weight, then the first that came; -1 if none waits.
func (q *serviceQueue) next() int {
	best := -1
	for index := range q.waiting {
		if best < 0 || q.before(q.waiting[index], q.waiting[best]) {
			best = index
		}
	}
	return best
}

func (q *serviceQueue) before(a, b *waitingRequest) bool {
	if a.rank != b.rank {
		return a.rank > b.rank
	}
	// inFlight(a)/weight(a) < inFlight(b)/weight(b), without division.
	shareA, shareB := q.byTenant[a.tenant]*b.weight, q.byTenant[b.tenant]*a.weight
	if shareA != shareB {
		return shareA < shareB
	}
	return a.arrival < b.arrival
}

// last returns the index of the request that a higher rank may displace: the lowest
// rank, then the last that came.
func (q *serviceQueue) last() int {
	worst := -1
	for index, one := range q.waiting {
		if worst < 0 || one.rank < q.waiting[worst].rank ||
			one.rank == q.waiting[worst].rank && one.arrival > q.waiting[worst].arrival {
			worst = index
		}
	}
	return worst
}

// take removes and returns the request at index.
func (q *serviceQueue) take(index int) *waitingRequest {
	one := q.waiting[index]
	q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
	return one
}

// remove drops a request; it returns false if it no longer waits.
func (q *serviceQueue) remove(request *waitingRequest) bool {
	for index, one := range q.waiting {
		if one == request {
			q.take(index)
			return true
		}
	}
	return false
}

func (q *serviceQueue) admitted(tenant string) {
	q.inFlight++
	q.byTenant[tenant]++
}

func (q *serviceQueue) released(tenant string, held time.Duration) {
	q.inFlight--
	if q.byTenant[tenant]--; q.byTenant[tenant] == 0 {
		delete(q.byTenant, tenant)
	}
	const smoothing = 8
	if q.meanHold == 0 {
		q.meanHold = held
	} else {
		q.meanHold += (held - q.meanHold) / smoothing
	}
}

// expectedWait is how long a request of the given rank would wait, going by how fast
// requests end; 0 where that isn't known.
func (q *serviceQueue) expectedWait(rank int) time.Duration {
	ahead := 1
	for _, one := range q.waiting {
		if one.rank >= rank {
			ahead++
		}
	}
	if q.inFlight == 0 {
		return 0
	}
	return time.Duration(ahead) * q.meanHold / time.Duration(q.inFlight)
}

// Bounds of the time that a refused caller is told to wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// refusal is the answer to a request that no engine saw.
func refusal(reason outcome.Reason, message string, wait time.Duration) *outcome.Error {
	return outcome.New(outcome.NotRun, reason, message).After(min(max(wait, minRetryAfter), maxRetryAfter))
}
