package relay_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/network"
	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/lab/platform"
)

const (
	measuredTenants = 300
	measuredApplies = 10
	measuredIdle    = 5 * time.Second
	changesPerDay   = 1800
	secondsPerDay   = 86400
)

// BenchmarkSpread measures, in real time, how soon an accepted file is in force on each node, the bytes between nodes,
// and the calls to the key-value service when all nodes start. "memory" has a one-way delay of 1 to 2 ms; "tcp" is
// loopback, with the fake platform over HTTP. Run it with -benchtime=1x.
func BenchmarkSpread(b *testing.B) {
	for _, nodes := range []int{42, 84, 168, 320} {
		b.Run(fmt.Sprintf("memory/nodes=%d", nodes), func(b *testing.B) {
			c := newCluster(b, 7, (nodes+6)/7)
			c.nodes = c.nodes[:nodes]
			measureSpread(b, c)
		})
	}
	for _, nodes := range []int{12, 42} {
		b.Run(fmt.Sprintf("tcp/nodes=%d", nodes), func(b *testing.B) {
			c := newCluster(b, 3, nodes/3)
			c.overTCP()
			measureSpread(b, c)
		})
	}
}

// overTCP makes the cluster use the real transport and the fake platform over HTTP.
func (c *cluster) overTCP() {
	c.platform = platform.NewServer(platform.Options{Zones: c.zones})
	if err := c.platform.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(c.platform.Stop)
	c.open = func(node *clusterNode) (peerTransport, port.KeyValue) {
		loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
		tcp, err := transport.NewTCP(string(node.member.ID), loopback, node.registry, zerolog.Nop())
		if err != nil {
			c.t.Fatal(err)
		}
		adapter := port.NewKeyValueHTTP(network.System{}, []netip.AddrPort{c.platform.Address(node.member.Zone)}, 0)
		c.t.Cleanup(adapter.Close)
		return tcpTransport{tcp}, adapter
	}
}

type tcpTransport struct{ *transport.TCP }

func (t tcpTransport) Start() netip.AddrPort {
	if err := t.TCP.Start(); err != nil {
		panic(err)
	}
	return t.Address()
}

func measureSpread(b *testing.B, c *cluster) {
	heapBefore := heap()
	store := config.NewStore(c.platform.KeyValue(platform.AnyZone), zerolog.Nop())
	if _, err := store.Apply(b.Context(), manyTenants(), config.AnyRevision); err != nil {
		b.Fatal(err)
	}
	c.start()
	defer c.stop()
	started := c.wantSpread(1, time.Minute, everyNode)
	b.ReportMetric(float64(started.Milliseconds()), "start-ms")
	b.ReportMetric(float64(c.calls()), "start-store-calls")

	b.ReportMetric(float64(heap()-heapBefore)/1024/float64(len(c.nodes)), "heap-KB/node")

	bytesBefore, busyBefore := c.bytes(), c.busy()
	time.Sleep(measuredIdle)
	nodeSeconds := measuredIdle.Seconds() * float64(len(c.nodes))
	idleBytes := (c.bytes() - bytesBefore) / nodeSeconds
	b.ReportMetric(float64((c.busy()-busyBefore).Microseconds())/nodeSeconds, "busy-µs/node-s")

	bytesBefore, appliesStarted := c.bytes(), time.Now()
	spread := measureApplies(b, c)
	idleNodeSeconds := time.Since(appliesStarted).Seconds() * float64(len(c.nodes))
	perChange := (c.bytes() - bytesBefore - idleBytes*idleNodeSeconds) / measuredApplies / float64(len(c.nodes))
	b.ReportMetric(idleBytes+perChange*changesPerDay/secondsPerDay, "B/node-s")
	b.ReportMetric(perChange, "B/node-change")
	b.ReportMetric(float64(spread.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(spread.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(spread.Max())/1000, "max-ms")
}

// measureApplies returns the times in microseconds from the return of each Apply until the revision is in force on
// each node.
func measureApplies(b *testing.B, c *cluster) *hdrhistogram.Histogram {
	var mutex sync.Mutex
	inForce := make(map[int64][]time.Time)
	for _, node := range c.nodes {
		node.service.Subscribe(func(snapshot *config.Snapshot) {
			mutex.Lock()
			defer mutex.Unlock()
			inForce[snapshot.Revision] = append(inForce[snapshot.Revision], time.Now())
		})
	}
	spread := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for number := range measuredApplies {
		revision := c.apply(fmt.Sprintf("added-%d", number))
		accepted := time.Now()
		c.wantSpread(revision, time.Minute, everyNode)
		mutex.Lock()
		for _, appliedAt := range inForce[revision] {
			if err := spread.RecordValue(max(1, appliedAt.Sub(accepted).Microseconds())); err != nil {
				b.Fatal(err)
			}
		}
		mutex.Unlock()
	}
	return spread
}

func manyTenants() []byte {
	var file bytes.Buffer
	for number := range measuredTenants {
		file.WriteString("---\n")
		file.Write(tenantFile(fmt.Sprintf("tenant-%d", number)))
	}
	return file.Bytes()
}

// heap returns the heap in use after a garbage collection, including the transports and registries of all nodes.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}

// bytes returns the number of bytes sent and received by all nodes.
func (c *cluster) bytes() float64 {
	var total float64
	for _, node := range c.nodes {
		total += sum(c.t, node.registry, transport.MetricBytes)
	}
	return total
}

func sum(t testing.TB, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var total float64
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			total += metric.GetCounter().GetValue()
		}
	}
	return total
}

func (c *cluster) busy() time.Duration {
	var total time.Duration
	for _, node := range c.nodes {
		total += node.service.Busy()
	}
	return total
}
