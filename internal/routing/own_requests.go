package routing

import (
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/fleet"
)

// maxRecentChanges bounds the changes that are kept for one replica between two load reports.
const maxRecentChanges = 4096

// ownRequests tracks this node's requests on one replica, so that those that the last load
// report does not include yet can be added to it.
type ownRequests struct {
	// mutex guards the fields below.
	mutex sync.Mutex
	// online and batch count the requests in flight.
	online int
	batch  int
	// recentChanges are starts (+1) and ends (-1) of online requests, oldest first.
	recentChanges []ownChange
}

type ownChange struct {
	at    time.Time
	delta int
}

// record adds delta to the requests in flight: 1 for a start, -1 for an end.
func (o *ownRequests) record(at time.Time, delta int, batch bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if batch {
		o.batch += delta
		return
	}
	o.online += delta
	if len(o.recentChanges) >= maxRecentChanges {
		o.recentChanges = append(o.recentChanges[:0], o.recentChanges[maxRecentChanges/2:]...)
	}
	o.recentChanges = append(o.recentChanges, ownChange{at: at, delta: delta})
}

// unreported returns the number of online requests that started minus the number that ended since
// the last load report was measured; it may be negative. Without a report it returns the number
// in flight.
func (o *ownRequests) unreported(replica *fleet.Replica, maxLag time.Duration) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !replica.HasLoad {
		return o.online
	}
	measured := MeasuredAt(replica.Load.MeasuredAt, replica.HeardAt, maxLag)
	first := 0
	for first < len(o.recentChanges) && o.recentChanges[first].at.Before(measured) {
		first++
	}
	if first > 0 {
		o.recentChanges = append(o.recentChanges[:0], o.recentChanges[first:]...)
	}
	net := 0
	for _, change := range o.recentChanges {
		net += change.delta
	}
	return net
}

// inFlight returns the number of this node's online requests on the replica.
func (o *ownRequests) inFlight() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.online
}

// MeasuredAt returns when a load report was measured, on this node's clock. The engine's clock
// may be wrong, so the lag that it implies is clamped to between 0 and maxLag.
func MeasuredAt(engineTime, receivedAt time.Time, maxLag time.Duration) time.Time {
	lag := receivedAt.Sub(engineTime)
	return receivedAt.Add(-min(max(lag, 0), maxLag))
}

// ownRequestsTable holds the ownRequests of all replicas by id.
type ownRequestsTable struct {
	// mutex guards byReplica.
	mutex     sync.RWMutex
	byReplica map[string]*ownRequests
}

func (t *ownRequestsTable) find(replica string) *ownRequests {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.byReplica[replica]
}

func (t *ownRequestsTable) findOrCreate(replica string) *ownRequests {
	if requests := t.find(replica); requests != nil {
		return requests
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests := t.byReplica[replica]
	if requests == nil {
		requests = &ownRequests{}
		t.byReplica[replica] = requests
	}
	return requests
}

// dropUnlisted removes replicas that are not in the directory and have no requests in flight.
func (t *ownRequestsTable) dropUnlisted(directory *fleet.Directory) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, requests := range t.byReplica {
		requests.mutex.Lock()
		idle := requests.online == 0 && requests.batch == 0
		requests.mutex.Unlock()
		if idle && directory.Find(id) == nil {
			delete(t.byReplica, id)
		}
	}
}
