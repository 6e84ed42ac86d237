package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/route"
)

const (
	// deadlinesKept is the number of callers' deadlines by which the usual one is judged.
	deadlinesKept = 63
	// deadlinesAssumed is how often the route's timeout counts as such until callers were seen.
	deadlinesAssumed = 31
	// medianEvery is the number of observations after which the median is taken again.
	medianEvery = 8
	// quickShare is the part of a route's requests whose first event comes sooner than the time that a request is taken to need.
	quickShare = 0.25
	// quickStep is the part of that time by which one observation moves it.
	quickStep = 0.05
)

// expectation is what a route's requests have shown of themselves. It is safe for concurrent use.
type expectation struct {
	mutex sync.Mutex
	// deadlines are the latest callers' times to wait, a ring; usual is their median.
	deadlines []time.Duration
	next      int
	usual     time.Duration
	// quick estimates the quantile quickShare of the time from the send to the first event.
	quick time.Duration
}

// observeDeadline takes in the time that a caller is ready to wait.
func (e *expectation) observeDeadline(wait time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.deadlines) < deadlinesKept {
		e.deadlines = append(e.deadlines, wait)
	} else {
		e.deadlines[e.next] = wait
	}
	e.next = (e.next + 1) % deadlinesKept
	if e.next%medianEvery == 0 {
		sorted := slices.Sorted(slices.Values(e.deadlines))
		e.usual = sorted[len(sorted)/2]
	}
}

// waited estimates for how long a caller has waited already, in earlier attempts, who is ready to wait that much longer: callers
// count down from the same time.
func (e *expectation) waited(wait time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(0, e.usual-wait)
}

// observeFirst takes in the time from a send to the first event.
func (e *expectation) observeFirst(after time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.quick == 0:
		e.quick = after
	case after < e.quick:
		e.quick -= time.Duration(quickStep * (1 - quickShare) * float64(e.quick))
	default:
		e.quick += time.Duration(quickStep * quickShare * float64(e.quick))
	}
}

// needed is the time from the send to the first event that a request needs where nothing holds it up.
func (e *expectation) needed() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.quick
}

// expectations holds the routes' expectations, by name. It is safe for concurrent use.
type expectations struct {
	mutex  sync.Mutex
	byName map[string]*expectation
}

func newExpectations() *expectations { return &expectations{byName: map[string]*expectation{}} }

// of returns what is known of a route; at first its timeout is taken for the usual deadline.
func (e *expectations) of(matched *route.Route) *expectation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := e.byName[matched.Name]
	if found == nil {
		found = &expectation{deadlines: slices.Repeat([]time.Duration{matched.Timeout}, deadlinesAssumed), next: deadlinesAssumed, usual: matched.Timeout}
		e.byName[matched.Name] = found
	}
	return found
}
