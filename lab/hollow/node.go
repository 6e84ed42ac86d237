package hollow

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/config/relay"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// node is one hollow node. Its fields below mutex are guarded by it.
type node struct {
	world    *world
	number   int
	zone     int
	region   int
	address  netip.AddrPort
	engines  engines
	machines machineList

	// silent: its machine is gone, nothing goes in or out.
	silent atomic.Bool

	mutex      sync.Mutex
	up         bool
	since      time.Time
	registry   *prometheus.Registry
	transport  *memory.Transport
	membership *membership.Service
	relay      *relay.Service
	fleet      *fleet.Service
	// earlier holds the bytes of runs before the present one.
	earlier usage
	inForce []revisionAt
	backs   int
}

// revisionAt notes when a revision came into force on a node.
type revisionAt struct {
	revision int64
	at       time.Time
}

// Marks among the revisions of a node for its starts and ends.
const (
	revisionAtStart int64 = 0
	revisionAtEnd   int64 = -1
)

// seedNodes is how many nodes are named as seeds to all.
const seedNodes = 5

// start starts the node's slices as a new incarnation.
func (n *node) start() error {
	registry := prometheus.NewRegistry()
	end, err := memory.NewTransport(n.world.network, n.address, registry)
	if err != nil {
		return err
	}
	started := time.Now()
	self := membership.Member{
		ID: membership.NodeID(nodeName(n.number)), Incarnation: uint64(started.UnixMicro()),
		Region: regionName(n.region), Zone: zoneName(n.zone), PeerAddress: n.address,
	}
	members, err := membership.New(membership.Options{
		Self: self, Seeds: n.world.seeds, Timing: membership.DefaultTiming(), RandomSeed: self.Incarnation,
	}, end, &n.machines, registry, zerolog.Nop())
	if err != nil {
		return err
	}
	relayed, err := relay.New(relay.Options{
		Self: self, Viewer: members, Caller: end, KeyValue: n.world.platform.KeyValue(self.Zone),
		Reporter: members, Logger: zerolog.Nop(), Registerer: registry, Seed: self.Incarnation,
	}, end)
	if err != nil {
		return err
	}
	replicas := n.newFleet(end, members)
	relayed.Subscribe(n.noteRevision)

	n.mutex.Lock()
	n.registry, n.transport, n.membership, n.relay, n.fleet = registry, end, members, relayed, replicas
	n.since, n.up = started, true
	n.inForce = append(n.inForce, revisionAt{revision: revisionAtStart, at: started})
	n.mutex.Unlock()
	n.silent.Store(false)

	end.Start()
	members.Start()
	relayed.Start()
	if replicas != nil {
		replicas.Start()
	}
	return nil
}

// newFleet returns nil where the run has no fleet slice.
func (n *node) newFleet(end *memory.Transport, members *membership.Service) *fleet.Service {
	if !n.world.options.Fleet {
		return nil
	}
	own := settings.Defaults()
	own.Node, own.Region, own.Zone, own.PeerAddress = nodeName(n.number), regionName(n.region), zoneName(n.zone), n.address
	replicas := fleet.NewService(fleet.DefaultOptions(), own, &n.machines, members, &n.engines, end, zerolog.Nop())
	replicas.Register(end)
	return replicas
}

// noteRevision keeps when a revision came into force, and whether one went back.
func (n *node) noteRevision(snapshot *config.Snapshot) {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.inForce[len(n.inForce)-1].revision == revisionAtEnd {
		return
	}
	if last := n.inForce[len(n.inForce)-1]; snapshot.Revision < last.revision {
		n.backs++
	}
	n.inForce = append(n.inForce, revisionAt{revision: snapshot.Revision, at: now})
}

// crash ends the node as the loss of its machine would.
func (n *node) crash() {
	n.silent.Store(true)
	n.end(n.membership.Kill)
}

// stop ends the node as planned.
func (n *node) stop() { n.end(n.membership.Stop) }

func (n *node) end(endMembership func()) {
	n.mutex.Lock()
	n.up = false
	n.inForce = append(n.inForce, revisionAt{revision: revisionAtEnd, at: time.Now()})
	n.mutex.Unlock()
	if n.fleet != nil {
		n.fleet.Stop()
	}
	n.relay.Stop()
	endMembership()
	n.transport.Stop()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.earlier = n.earlier.plus(n.usedNow())
	n.registry = nil
}

// isUp says whether the node runs, and since when.
func (n *node) isUp() (bool, time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.up, n.since
}

// view is the node's view of the members.
func (n *node) view() *membership.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.membership.View()
}

func (n *node) revision() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.relay.Current().Revision
}

// usage is what a node sent and received, by method.
type usage struct {
	bytes  map[string]float64
	frames float64
	// busy is the time that the control goroutine of a slice spent on events.
	busy map[string]time.Duration
	// changes counts changes of members as the node saw them, by kind.
	changes map[string]float64
}

func newUsage() usage {
	return usage{
		bytes:   make(map[string]float64),
		busy:    make(map[string]time.Duration),
		changes: make(map[string]float64),
	}
}

func (u usage) plus(other usage) usage {
	sum := newUsage()
	sum.frames = u.frames + other.frames
	for _, part := range []usage{u, other} {
		for method, bytes := range part.bytes {
			sum.bytes[method] += bytes
		}
		for slice, busy := range part.busy {
			sum.busy[slice] += busy
		}
		for kind, count := range part.changes {
			sum.changes[kind] += count
		}
	}
	return sum
}

// Methods under which the bodies of calls to stand-ins are counted.
const (
	countedEngines  = "http.engine_polls"
	countedMachines = "http.machine_list"
)

// used is what the node sent and received since its first start.
func (n *node) used() usage {
	n.mutex.Lock()
	total := n.earlier.plus(n.usedNow())
	n.mutex.Unlock()
	total.bytes[countedEngines] += float64(n.engines.bytes.Load())
	total.bytes[countedMachines] += float64(n.machines.bytes.Load())
	total.frames += float64(n.engines.calls.Load())
	return total
}

// usedNow is what the present incarnation used; the caller holds mutex.
func (n *node) usedNow() usage {
	read := newUsage()
	if n.registry == nil {
		return read
	}
	read.busy["membership"] = n.membership.Busy()
	read.busy["config"] = n.relay.Busy()
	families, err := n.registry.Gather()
	if err != nil {
		panic(err) // The slices' collectors never fail.
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			switch family.GetName() {
			case transport.MetricBytes:
				read.bytes[labelOf(metric, "method")] += metric.GetCounter().GetValue()
			case membership.MetricChanges:
				read.changes[labelOf(metric, "kind")] += metric.GetCounter().GetValue()
			case transport.MetricFrames:
				read.frames += metric.GetCounter().GetValue()
			}
		}
	}
	return read
}

func labelOf(metric *dto.Metric, name string) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}
