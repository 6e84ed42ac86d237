package quota

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/tenant"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// edge is one edge of a test cluster.
type edge struct {
	id        membership.NodeID
	zone      string
	address   netip.AddrPort
	view      *membershiptest.Viewer
	transport *memory.Transport
	service   *Service
	up        bool
	// registry holds the transport metrics of its current process.
	registry *prometheus.Registry
}

// testAllowance equals the allowance of the first deployment with tenants.
var testAllowance = Allowance{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}

// cluster is a set of edges on one in-memory network.
type cluster struct {
	t       *testing.T
	network *memory.Network
	edges   []*edge

	mutex sync.Mutex
	// partitions numbers the partition that an edge is in; 0 is the main one. Edges of different partitions do not reach each other.
	partitions map[netip.AddrPort]int
	// admitted holds the times at which the admitted requests were made.
	admitted []time.Time
	refused  int
}

func newCluster(t *testing.T, count int) *cluster {
	created := &cluster{t: t, network: memory.NewNetwork(1), partitions: map[netip.AddrPort]int{}}
	created.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		created.mutex.Lock()
		defer created.mutex.Unlock()
		return memory.Conditions{Delay: 500 * time.Microsecond, Cut: created.partitions[from] != created.partitions[to]}
	})
	for index := range count {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+index))
		created.edges = append(created.edges, &edge{id: membership.NodeID(fmt.Sprintf("edge-%02d", index)), address: address, view: membershiptest.NewViewer(nil)})
	}
	for _, member := range created.edges {
		created.start(member)
	}
	created.updateViews()
	// Edges that have just started do not lend yet, and their parts of a burst accrue over time.
	time.Sleep(2 * time.Second)
	return created
}

// start starts an edge's process, which has no state from an earlier one.
func (c *cluster) start(started *edge) {
	var err error
	started.registry = prometheus.NewRegistry()
	started.transport, err = memory.NewTransport(c.network, started.address, started.registry)
	if err != nil {
		c.t.Fatal(err)
	}
	started.view.Set(&membership.View{Self: started.id, Members: []membership.Member{c.member(started, membership.Alive)}})
	started.service = NewService(testAllowance, started.view, started.transport, started.transport, prometheus.NewRegistry(), zerolog.Nop())
	started.transport.Start()
	started.up = true
}

func (c *cluster) kill(killed *edge) {
	killed.up = false
	killed.transport.Stop()
	killed.service.Stop()
}

func (c *cluster) stop() {
	for _, member := range c.edges {
		if member.up {
			c.kill(member)
		}
	}
}

func (c *cluster) member(described *edge, state membership.State) membership.Member {
	return membership.Member{ID: described.id, Zone: described.zone, PeerAddress: described.address, State: state}
}

// updateViews brings the membership views of the given edges, or of all, up to date: edges that are down or in another partition are dead.
func (c *cluster) updateViews(edges ...*edge) {
	if len(edges) == 0 {
		edges = c.edges
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, observer := range edges {
		view := &membership.View{Self: observer.id}
		for _, other := range c.edges {
			state := membership.Alive
			reachable := c.partitions[other.address] == c.partitions[observer.address]
			if !other.up || !reachable {
				state = membership.Dead
			}
			view.Members = append(view.Members, c.member(other, state))
		}
		observer.view.Set(view)
	}
}

// isolate puts each of the given edges into a partition of its own and all others into the main one.
func (c *cluster) isolate(isolated ...*edge) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.partitions)
	for number, member := range isolated {
		c.partitions[member.address] = number + 1
	}
}

// partition puts the given edges together into one partition and all others into the main one.
func (c *cluster) partition(group ...*edge) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.partitions)
	for _, member := range group {
		c.partitions[member.address] = 1
	}
}

// load sends perSecond requests per second to the edges in turn, leaving out those that are down, for the duration of span. It returns when
// all of them have been decided.
func (c *cluster) load(holder *tenant.Tenant, version int64, perSecond int, span time.Duration) {
	var requests sync.WaitGroup
	count := int(span.Seconds() * float64(perSecond))
	for number := range count {
		target := c.edges[number%len(c.edges)]
		if !target.up {
			time.Sleep(time.Second / time.Duration(perSecond))
			continue
		}
		service := target.service
		requests.Go(func() {
			sent := time.Now()
			verdict := service.Admit(c.t.Context(), holder, version)
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if verdict.Admitted {
				c.admitted = append(c.admitted, sent)
			} else {
				c.refused++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
}

// grantorOf returns the edge that ranks first in the view of the first edge.
func (c *cluster) grantorOf(holder *tenant.Tenant) *edge {
	grantor := rank(c.edges[0].view.View(), holder.Name).edges[0]
	for _, member := range c.edges {
		if member.id == grantor.ID {
			return member
		}
	}
	c.t.Fatal("no grantor")
	return nil
}

// checkWindows fails the test if the admitted requests of any window exceed the limit by more than the allowance. It returns the highest
// number in a window.
func (c *cluster) checkWindows(limit tenant.Limit) (maxAdmitted int) {
	c.t.Helper()
	allowance := testAllowance
	allowed := limit.RequestsPerSecond*allowance.Window.Seconds() + limit.Burst + allowance.slack(limit)
	slices.SortFunc(c.admitted, time.Time.Compare)
	first := 0
	for last, admittedAt := range c.admitted {
		for admittedAt.Sub(c.admitted[first]) >= allowance.Window {
			first++
		}
		maxAdmitted = max(maxAdmitted, last-first+1)
	}
	if float64(maxAdmitted) > allowed {
		c.t.Errorf("%d requests in one window, want %.0f at most", maxAdmitted, allowed)
	}
	return maxAdmitted
}

// receivedFrames returns the number of frames of a method, requests and responses, that the running processes have received so far.
func (c *cluster) receivedFrames(method transport.Method) (frames float64) {
	c.t.Helper()
	for _, member := range c.edges {
		if !member.up {
			continue
		}
		families, err := member.registry.Gather()
		if err != nil {
			c.t.Fatal(err)
		}
		for _, family := range families {
			for _, metric := range family.Metric {
				labels := map[string]string{}
				for _, pair := range metric.Label {
					labels[pair.GetName()] = pair.GetValue()
				}
				if family.GetName() == transport.MetricFrames && labels["method"] == string(method) && labels["direction"] == transport.DirectionReceived {
					frames += metric.Counter.GetValue()
				}
			}
		}
	}
	return frames
}
