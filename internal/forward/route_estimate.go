package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/route"
)

const (
	// timeoutWindow is the number of callers' timeouts from which the usual one is estimated.
	timeoutWindow = 63
	// assumedTimeouts is the number of entries equal to the route's own timeout with which the window starts.
	assumedTimeouts = 31
	// medianInterval is the number of observations between two computations of the median.
	medianInterval = 8
	// quickQuantile is the quantile of the time to the first event that is taken for the time without queueing.
	quickQuantile = 0.25
	// quickStepShare is the share of the estimate by which one observation moves it.
	quickStepShare = 0.05
)

// routeEstimate holds what was observed of a route's requests. It is safe for concurrent use.
type routeEstimate struct {
	mutex sync.Mutex
	// timeouts is a ring of the latest callers' timeouts; medianTimeout is their median.
	timeouts      []time.Duration
	next          int
	medianTimeout time.Duration
	// quickFirstEvent estimates the quantile quickQuantile of the time from sending to the first event.
	quickFirstEvent time.Duration
}

// observeTimeout records how long a caller is ready to wait.
func (e *routeEstimate) observeTimeout(timeout time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.timeouts) < timeoutWindow {
		e.timeouts = append(e.timeouts, timeout)
	} else {
		e.timeouts[e.next] = timeout
	}
	e.next = (e.next + 1) % timeoutWindow
	if e.next%medianInterval == 0 {
		sorted := slices.Sorted(slices.Values(e.timeouts))
		e.medianTimeout = sorted[len(sorted)/2]
	}
}

// alreadyWaited estimates how long a caller with the given timeout has already waited in earlier attempts. It assumes that all callers
// start with the usual timeout and send what is left of it with each attempt.
func (e *routeEstimate) alreadyWaited(timeout time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(0, e.medianTimeout-timeout)
}

// observeFirstEvent records the time from sending a request to its first event.
func (e *routeEstimate) observeFirstEvent(after time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.quickFirstEvent == 0:
		e.quickFirstEvent = after
	case after < e.quickFirstEvent:
		e.quickFirstEvent -= time.Duration(quickStepShare * (1 - quickQuantile) * float64(e.quickFirstEvent))
	default:
		e.quickFirstEvent += time.Duration(quickStepShare * quickQuantile * float64(e.quickFirstEvent))
	}
}

// uncontendedLatency returns the time from sending to the first event of a request that does not have to queue; 0 if it is unknown.
func (e *routeEstimate) uncontendedLatency() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.quickFirstEvent
}

// routeEstimates holds the estimates by route name. It is safe for concurrent use.
type routeEstimates struct {
	mutex  sync.Mutex
	byName map[string]*routeEstimate
}

func newRouteEstimates() *routeEstimates { return &routeEstimates{byName: map[string]*routeEstimate{}} }

// forRoute returns the estimate of a route; a new one starts with the route's timeout as the usual timeout.
func (e *routeEstimates) forRoute(matched *route.Route) *routeEstimate {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := e.byName[matched.Name]
	if found == nil {
		found = &routeEstimate{
			timeouts: slices.Repeat([]time.Duration{matched.Timeout}, assumedTimeouts), next: assumedTimeouts, medianTimeout: matched.Timeout,
		}
		e.byName[matched.Name] = found
	}
	return found
}
