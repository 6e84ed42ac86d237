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

// node is one hollow node. The fields below mutex are guarded by it.
type node struct {
	world    *world
	number   int
	zone     int
	region   int
	address  netip.AddrPort
	engines  engines
	machines machineList

	// silent is set while the node's machine is down: the network drops everything from and to it.
	silent atomic.Bool

	mutex      sync.Mutex
	up         bool
	upSince    time.Time
	registry   *prometheus.Registry
	transport  *memory.Transport
	membership *membership.Service
	relay      *relay.Service
	fleet      *fleet.Service
	// earlier is the usage of earlier incarnations.
	earlier usage
	// inForce is the history of revisions, starts and ends.
	inForce []revisionAt
	// decreases counts the times that the revision decreased.
	decreases int
}

// revisionAt is the time at which a revision was applied or came into force on a node.
type revisionAt struct {
	revision int64
	at       time.Time
}

// Values of revision that mark the starts and ends of a node in its history.
const (
	revisionAtStart int64 = 0
	revisionAtEnd   int64 = -1
)

// seedNodes is the number of seed nodes.
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
	n.upSince, n.up = started, true
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

// newFleet returns the fleet slice, or nil if the run has none.
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

// noteRevision records when a revision came into force and counts decreases.
func (n *node) noteRevision(snapshot *config.Snapshot) {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.inForce[len(n.inForce)-1].revision == revisionAtEnd {
		return
	}
	if last := n.inForce[len(n.inForce)-1]; snapshot.Revision < last.revision {
		n.decreases++
	}
	n.inForce = append(n.inForce, revisionAt{revision: snapshot.Revision, at: now})
}

// crash ends the node like the loss of its machine.
func (n *node) crash() {
	n.silent.Store(true)
	n.end(n.membership.Kill)
}

// stop is the planned stop of the node.
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
	n.earlier = n.earlier.plus(n.currentUsage())
	n.registry = nil
}

// isUp reports whether the node is running, and since when.
func (n *node) isUp() (bool, time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.up, n.upSince
}

// view returns the node's view of the members.
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

// usage holds the cumulative traffic and work of a node.
type usage struct {
	// bytes counts the bytes sent and received, by method.
	bytes  map[string]float64
	frames float64
	// busy is the time that the control goroutine of each slice spent on events.
	busy map[string]time.Duration
	// changes counts the membership changes that the node saw, by kind.
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

// Methods under which the HTTP traffic with simulated services is counted.
const (
	countedEngines  = "http.engine_polls"
	countedMachines = "http.machine_list"
)

// totalUsage returns the usage since the node's first start.
func (n *node) totalUsage() usage {
	n.mutex.Lock()
	total := n.earlier.plus(n.currentUsage())
	n.mutex.Unlock()
	total.bytes[countedEngines] += float64(n.engines.bytes.Load())
	total.bytes[countedMachines] += float64(n.machines.bytes.Load())
	total.frames += float64(n.engines.calls.Load())
	return total
}

// currentUsage returns the usage of the current incarnation. The caller holds mutex.
func (n *node) currentUsage() usage {
	current := newUsage()
	if n.registry == nil {
		return current
	}
	current.busy["membership"] = n.membership.Busy()
	current.busy["config"] = n.relay.Busy()
	families, err := n.registry.Gather()
	if err != nil {
		panic(err) // The collectors of the slices never fail.
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			switch family.GetName() {
			case transport.MetricBytes:
				current.bytes[labelOf(metric, "method")] += metric.GetCounter().GetValue()
			case membership.MetricChanges:
				current.changes[labelOf(metric, "kind")] += metric.GetCounter().GetValue()
			case transport.MetricFrames:
				current.frames += metric.GetCounter().GetValue()
			}
		}
	}
	return current
}

func labelOf(metric *dto.Metric, name string) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}
