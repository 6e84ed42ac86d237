package routing

import (
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/fleet"
)

// maxOwnChanges bounds what is kept of one replica between two reports.
const maxOwnChanges = 4096

// ownRequests counts this node's requests on one replica, so that those which the
// last report doesn't count yet can be added to it.
type ownRequests struct {
	// mutex guards all below.
	mutex sync.Mutex
	// online and batch are the requests in flight.
	online int
	batch  int
	// changes are starts (+1) and ends (-1) of online requests, oldest first.
	changes []ownChange
}

type ownChange struct {
	at    time.Time
	delta int
}

func (o *ownRequests) change(at time.Time, delta int, batch bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if batch {
		o.batch += delta
		return
	}
	o.online += delta
	if len(o.changes) >= maxOwnChanges {
		o.changes = append(o.changes[:0], o.changes[maxOwnChanges/2:]...)
	}
	o.changes = append(o.changes, ownChange{at: at, delta: delta})
}

// since returns the net number of own online requests started after the report was measured.
// Where there is no report it is the number in flight.
func (o *ownRequests) since(replica *fleet.Replica, maxLag time.Duration) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !replica.HasLoad {
		return o.online
	}
	measured := MeasuredAt(replica.Load.MeasuredAt, replica.HeardAt, maxLag)
	first := 0
	for first < len(o.changes) && o.changes[first].at.Before(measured) {
		first++
	}
	if first > 0 {
		o.changes = append(o.changes[:0], o.changes[first:]...)
	}
	net := 0
	for _, change := range o.changes {
		net += change.delta
	}
	return net
}

// inFlight returns the own online requests on the replica.
func (o *ownRequests) inFlight() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.online
}

// MeasuredAt returns on this node's clock when a report was measured: the engine's clock
// is believed only as far as it makes a lag between 0 and maxLag.
func MeasuredAt(engineTime, heardAt time.Time, maxLag time.Duration) time.Time {
	lag := heardAt.Sub(engineTime)
	return heardAt.Add(-min(max(lag, 0), maxLag))
}

// ownTable finds the ownRequests of replicas.
type ownTable struct {
	// mutex guards byReplica.
	mutex     sync.RWMutex
	byReplica map[string]*ownRequests
}

func (t *ownTable) find(replica string) *ownRequests {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.byReplica[replica]
}

func (t *ownTable) findOrMake(replica string) *ownRequests {
	if known := t.find(replica); known != nil {
		return known
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.byReplica[replica]
	if known == nil {
		known = &ownRequests{}
		t.byReplica[replica] = known
	}
	return known
}

// keepOnly drops idle replicas that are no longer listed.
func (t *ownTable) keepOnly(directory *fleet.Directory) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, known := range t.byReplica {
		known.mutex.Lock()
		idle := known.online == 0 && known.batch == 0
		known.mutex.Unlock()
		if idle && directory.Find(id) == nil {
			delete(t.byReplica, id)
		}
	}
}
