package loadshare

import (
	"sync"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

// answersStale is the age at which the last answer no longer counts for the gate of online requests.
const answersStale = 400 * time.Millisecond

// fleet is what a node knows of all nodes by the answers of its exchange. It is safe for concurrent use.
type fleet struct {
	mutex   sync.Mutex
	run     uint64
	version uint64
	at      time.Time
	totals  replicaLoads
	demands demands
	// own is what this node reported with its last question; the answer counts it in.
	own state
	// onlineNodes is the number of nodes with callers that reported at the last answer, onlineSince when there were some again after
	// there were none, or when this process started.
	onlineNodes int
	onlineSince time.Time
	everOnline  bool
}

// state is what this node has.
type state struct {
	replicas replicaLoads
	demands  demands
}

func newFleet(now time.Time) *fleet {
	return &fleet{totals: replicaLoads{}, demands: demands{}, onlineSince: now}
}

// known names the last answer.
func (f *fleet) known() (run, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.run, f.version
}

// age returns the age of the last answer; known is false where there was none.
func (f *fleet) age(now time.Time) (age time.Duration, known bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.at), !f.at.IsZero()
}

// take takes in an answer to a question that reported own.
func (f *fleet) take(answer *loadsharepb.FleetLoad, own state, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := decodeReplicas(answer.GetReplicas())
	if answer.GetWhole() {
		f.totals = changed
	} else {
		for key, use := range changed {
			f.set(key, use)
		}
	}
	f.countOnline(int(answer.GetOnlineNodes()), now)
	f.run, f.version, f.at, f.own = answer.GetRun(), answer.GetVersion(), now, own
	f.demands = decodeDemands(answer.GetDemands())
}

func (f *fleet) set(key replica.Key, use replica.Use) {
	if use == (replica.Use{}) {
		delete(f.totals, key)
		return
	}
	f.totals[key] = use
}

// countOnline notes when nodes with callers are back after there were none. The mutex is held.
func (f *fleet) countOnline(nodes int, now time.Time) {
	absent := f.onlineNodes == 0 || now.Sub(f.at) > reportStale
	if f.everOnline && absent && nodes > 0 {
		f.onlineSince = now
	}
	f.everOnline = f.everOnline || nodes > 0
	f.onlineNodes = nodes
}

// others returns what all other nodes have at each replica.
func (f *fleet) others() replicaLoads {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	left := make(replicaLoads, len(f.totals))
	for key, use := range f.totals {
		left[key] = use.Minus(f.own.replicas[key])
	}
	return left
}

// demand returns the other nodes' demand for service and the age of the answer that it is of.
func (f *fleet) demand(service string, now time.Time) (others Demand, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.demands[service].minus(f.own.demands[service]), now.Sub(f.at)
}

// reportingSince returns since when nodes with callers have reported without a break.
func (f *fleet) reportingSince() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.onlineSince
}
