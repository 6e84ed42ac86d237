package roles

import (
	"slices"
	"sync"
	"time"
)

// sentRun is one request or item that a replica received.
type sentRun struct {
	replica   *replica
	arrivedAt time.Time
	// deadlineMillis is the deadline header's value, 0 if there was none.
	deadlineMillis int64
	lastEvent      string
	// started is set once the replica has started to work on it; status is the response's status, 0 if none was written.
	started bool
	status  int
}

// record holds the runs that replicas received, by request id. It is safe for concurrent use.
type record struct {
	mutex sync.Mutex
	runs  map[string][]*sentRun
}

func newRecord() *record { return &record{runs: map[string][]*sentRun{}} }

func (r *record) add(id string, run *sentRun) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id] = append(r.runs[id], run)
}

func (r *record) update(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// runsOf returns copies of the runs of a request, ordered by arrival.
func (r *record) runsOf(id string) []sentRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var copied []sentRun
	for _, run := range r.runs[id] {
		copied = append(copied, *run)
	}
	slices.SortStableFunc(copied, func(a, b sentRun) int { return a.arrivedAt.Compare(b.arrivedAt) })
	return copied
}
