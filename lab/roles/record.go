package roles

import (
	"slices"
	"sync"
	"time"
)

// sentRun is one request or item as a replica got it.
type sentRun struct {
	replica *replica
	at      time.Time
	// deadlineMillis is what the send allowed; 0 where it named none.
	deadlineMillis int64
	lastEvent      string
	// began says that the replica worked on it, status is what it answered, 0 where no answer was written.
	began  bool
	status int
}

// record is what the replicas saw, by request id. It is safe for concurrent use.
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

func (r *record) note(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// of returns copies of the runs of a request in the order of their arrival.
func (r *record) of(id string) []sentRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var copied []sentRun
	for _, each := range r.runs[id] {
		copied = append(copied, *each)
	}
	slices.SortStableFunc(copied, func(one, other sentRun) int { return one.at.Compare(other.at) })
	return copied
}
