package loadshare

import (
	"sync"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

// answerStaleAfter is the age beyond which the last answer no longer counts for the admission of online requests.
const answerStaleAfter = 400 * time.Millisecond

// fleet is the load of all nodes as known from the answers of this node's exchange. It is safe for concurrent use.
type fleet struct {
	mutex      sync.Mutex
	run        uint64
	version    uint64
	answeredAt time.Time
	totals     replicaLoads
	demands    demands
	// reported is the load that this node reported with its last answered query; totals and demands include it.
	reported nodeLoad
	// onlineNodes is the number of reporting nodes with callers as of the last answer.
	onlineNodes int
	// onlineSince is when such nodes last reappeared after there were none, or when this process started.
	onlineSince time.Time
	// seenOnline is set once there was such a node.
	seenOnline bool
}

// nodeLoad is the load of this node.
type nodeLoad struct {
	replicas replicaLoads
	demands  demands
}

func newFleet(now time.Time) *fleet {
	return &fleet{totals: replicaLoads{}, demands: demands{}, onlineSince: now}
}

// lastAnswer returns the run and version of the exchange that the last answer was given for.
func (f *fleet) lastAnswer() (run, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.run, f.version
}

// answerAge returns the age of the last answer; known is false if there was none.
func (f *fleet) answerAge(now time.Time) (age time.Duration, known bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.answeredAt), !f.answeredAt.IsZero()
}

// applyAnswer applies the answer to a query that carried reported.
func (f *fleet) applyAnswer(answer *loadsharepb.FleetLoad, reported nodeLoad, now time.Time) {
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
	f.noteOnlineNodes(int(answer.GetOnlineNodes()), now)
	f.run, f.version, f.answeredAt, f.reported = answer.GetRun(), answer.GetVersion(), now, reported
	f.demands = decodeDemands(answer.GetDemands())
}

func (f *fleet) set(key replica.Key, use replica.Use) {
	if use == (replica.Use{}) {
		delete(f.totals, key)
		return
	}
	f.totals[key] = use
}

// noteOnlineNodes records the number of nodes with callers, and the time when some reappear after there were none. The caller must hold mutex.
func (f *fleet) noteOnlineNodes(nodes int, now time.Time) {
	absent := f.onlineNodes == 0 || now.Sub(f.answeredAt) > reportStaleAfter
	if f.seenOnline && absent && nodes > 0 {
		f.onlineSince = now
	}
	f.seenOnline = f.seenOnline || nodes > 0
	f.onlineNodes = nodes
}

// otherLoads returns the load of all other nodes by replica.
func (f *fleet) otherLoads() replicaLoads {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	loads := make(replicaLoads, len(f.totals))
	for key, use := range f.totals {
		loads[key] = use.Minus(f.reported.replicas[key])
	}
	return loads
}

// otherDemand returns the other nodes' demand for service, and the age of the answer that it comes from.
func (f *fleet) otherDemand(service string, now time.Time) (others Demand, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.demands[service].minus(f.reported.demands[service]), now.Sub(f.answeredAt)
}

// reportingSince returns the time since which nodes with callers have reported without interruption.
func (f *fleet) reportingSince() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.onlineSince
}
