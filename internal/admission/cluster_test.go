package admission

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

const (
	clusterSlots      = 8
	clusterBatchLimit = 6
	itemTime          = 300 * time.Millisecond
	clusterDelay      = time.Millisecond
)

// cluster is three nodes in two zones with four replicas, on virtual time. It implements the
// interfaces that the nodes depend on.
type cluster struct {
	engine.Client // only the methods implemented below are called
	t             *testing.T
	network       *memory.Network
	nodes         []*clusterNode
	// mutex guards the fields below.
	mutex       sync.Mutex
	view        *membership.View
	subscribers []func(*membership.View)
	online      map[string]int
	batch       map[string]int
	leaving     map[string]bool
	// completed counts the batch items that ran to their end.
	completed map[string]int
}

type clusterNode struct {
	cluster   *cluster
	id        string
	transport *memory.Transport
	fleet     *fleet.Service
	router    *routing.Service
	credits   *CreditService
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, network: memory.NewNetwork(1), online: make(map[string]int), batch: make(map[string]int),
		leaving: make(map[string]bool), completed: make(map[string]int), view: &membership.View{},
	}
	c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: clusterDelay}
	})
	for index, zone := range []string{"z1", "z1", "z2"} {
		c.view.Members = append(c.view.Members, membership.Member{
			ID: membership.NodeID(fmt.Sprint("n", index)), Zone: zone,
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)),
		})
	}
	for _, member := range c.view.Members {
		c.nodes = append(c.nodes, c.newNode(member))
	}
	for _, node := range c.nodes {
		node.transport.Start()
		node.fleet.Start()
		node.credits.Start()
	}
	time.Sleep(time.Second)
	return c
}

func (c *cluster) newNode(member membership.Member) *clusterNode {
	registry := prometheus.NewRegistry()
	nodeTransport, err := memory.NewTransport(c.network, member.PeerAddress, registry)
	if err != nil {
		c.t.Fatal(err)
	}
	nodeSettings := settings.Settings{Node: string(member.ID), Zone: member.Zone, PeerAddress: member.PeerAddress}
	node := &clusterNode{cluster: c, id: string(member.ID), transport: nodeTransport}
	node.fleet = fleet.NewService(fleet.DefaultOptions(), nodeSettings, c, c, c, nodeTransport, zerolog.Nop())
	node.fleet.Register(nodeTransport)
	node.router = routing.New(routing.DefaultOptions(), node.fleet, "", member.Zone, registry)
	node.credits = NewCreditService(DefaultOptions(), nodeSettings, node.fleet, node.router, c,
		clusterConfig{clusterBatchLimit}, nodeTransport, registry, zerolog.Nop())
	node.credits.Register(nodeTransport)
	node.router.ObserveOnline(node.credits.onlineStarted)
	return node
}

func (n *clusterNode) stop() {
	n.credits.Stop()
	n.fleet.Stop()
}

// stop stops all nodes and then, when no message is in flight any more, their transports.
func (c *cluster) stop() {
	for _, node := range c.nodes {
		node.stop()
	}
	time.Sleep(time.Second)
	for _, node := range c.nodes {
		node.transport.Stop()
	}
}

// partition cuts a node off the network.
func (c *cluster) partition(node *clusterNode) {
	address := node.transport.Address()
	c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: clusterDelay, Cut: from == address || to == address}
	})
}

// View implements membership.Viewer.
func (c *cluster) View() *membership.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view
}

func (c *cluster) Subscribe(notify func(*membership.View)) (unsubscribe func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.subscribers = append(c.subscribers, notify)
	return func() {}
}

func (c *cluster) List(context.Context) (platform.MachineListing, error) {
	listing := platform.MachineListing{Version: 1}
	for index, zone := range []string{"z1", "z1", "z2", "z2"} {
		listing.Machines = append(listing.Machines, platform.Machine{
			ID: fmt.Sprint("r", index), Role: platform.RoleReplica, Zone: zone, State: platform.MachineLive, Service: "chat",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+100)),
		})
	}
	return listing, nil
}

func (c *cluster) Load(_ context.Context, to engine.Endpoint) (engine.LoadReport, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return engine.LoadReport{
		Sequence: uint64(time.Now().UnixNano()), MeasuredAt: time.Now(), MaxRunning: clusterSlots,
		Running: c.online[to.Replica] + c.batch[to.Replica], RunningBatch: c.batch[to.Replica], Leaving: c.leaving[to.Replica],
	}, nil
}

func (c *cluster) CacheEvents(context.Context, engine.Endpoint, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

type clusterConfig struct{ batchLimit int }

func (c clusterConfig) Current() *config.Snapshot {
	return &config.Snapshot{Services: map[string]*config.Service{
		"chat": {Name: "chat", BatchConcurrentPerReplica: c.batchLimit, MaxConcurrentPerReplica: clusterSlots},
	}}
}

func (clusterConfig) Subscribe(func(*config.Snapshot)) (unsubscribe func()) { return func() {} }

// runItems keeps perNode batch items running or waiting at each node until ctx ends. An item
// runs for itemTime or until its credit is revoked.
func (c *cluster) runItems(ctx context.Context, perNode int) (wait func()) {
	var running sync.WaitGroup
	for _, node := range c.nodes {
		for range perNode {
			running.Go(func() {
				for ctx.Err() == nil {
					node.runItem(ctx)
				}
			})
		}
	}
	return running.Wait
}

func (n *clusterNode) runItem(ctx context.Context) {
	request := BatchRequest{Tenant: "office", Rank: 1, Deadline: time.Now().Add(time.Hour)}
	request.Routing.Service = "chat"
	credit, err := n.credits.Acquire(ctx, request)
	if err != nil {
		return
	}
	defer credit.Release()
	replica := credit.Decision.Endpoint.Replica
	n.cluster.adjust(n.cluster.batch, replica, 1)
	defer n.cluster.adjust(n.cluster.batch, replica, -1)
	select {
	case <-time.After(itemTime):
		n.cluster.adjust(n.cluster.completed, replica, 1)
	case <-credit.Revoked:
	}
}

// adjust changes the count of a replica and checks its batch limit.
func (c *cluster) adjust(counts map[string]int, replica string, delta int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts[replica] += delta
	if c.batch[replica] > clusterBatchLimit {
		c.t.Errorf("%d batch items on %s, limit %d", c.batch[replica], replica, clusterBatchLimit)
	}
}

func (c *cluster) count(counts map[string]int, replica string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return counts[replica]
}

// expectThroughput checks that each replica completes batch items at 90 % or more of the rate
// that its batch slots allow.
func (c *cluster) expectThroughput(replicas ...string) {
	c.t.Helper()
	const rounds = 20
	before := make(map[string]int)
	for _, replica := range replicas {
		before[replica] = c.count(c.completed, replica)
	}
	time.Sleep(rounds * itemTime)
	for _, replica := range replicas {
		if done := c.count(c.completed, replica) - before[replica]; done < rounds*clusterBatchLimit*9/10 {
			c.t.Errorf("%d items completed on %s, want nearly %d", done, replica, rounds*clusterBatchLimit)
		}
	}
}

func TestBatchFillsIdleReplicasAndYieldsToABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		ctx, cancel := context.WithCancel(t.Context())
		wait := c.runItems(ctx, 20)
		time.Sleep(2 * time.Second)
		c.expectThroughput("r0", "r1", "r2", "r3")
		// A burst at one gateway fills every slot. Load reports come only every 100 ms, so batch
		// must yield to the online signals.
		var releases []func()
		for range 4 * clusterSlots {
			decision, done, err := c.nodes[2].router.Pick(routing.Request{Service: "chat"})
			if err != nil {
				t.Fatal(err)
			}
			c.adjust(c.online, decision.Endpoint.Replica, 1)
			releases = append(releases, func() { c.adjust(c.online, decision.Endpoint.Replica, -1); done() })
		}
		time.Sleep(20 * time.Millisecond)
		for _, replica := range []string{"r0", "r1", "r2", "r3"} {
			if online, batch := c.count(c.online, replica), c.count(c.batch, replica); online+batch > clusterSlots {
				t.Errorf("%d online and %d batch requests on %s soon after the burst", online, batch, replica)
			}
		}
		for _, release := range releases {
			release()
		}
		time.Sleep(DefaultOptions().BurstWindow + time.Second)
		c.expectThroughput("r0", "r1", "r2", "r3")
		cancel()
		wait()
		c.stop()
	})
}

func TestLeavingReplicaTakesNothingNewWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		ctx, cancel := context.WithCancel(t.Context())
		wait := c.runItems(ctx, 20)
		time.Sleep(time.Second)
		c.mutex.Lock()
		c.leaving["r3"] = true
		c.mutex.Unlock()
		time.Sleep(2 * time.Second)
		if batch := c.count(c.batch, "r3"); batch != 0 {
			t.Errorf("%d batch items run on a replica that is leaving", batch)
		}
		for _, node := range c.nodes {
			for range 50 {
				decision, done, err := node.router.Pick(routing.Request{Service: "chat"})
				if err != nil || decision.Endpoint.Replica == "r3" {
					t.Fatalf("%s picks %v, %v", node.id, decision, err)
				}
				done()
			}
		}
		cancel()
		wait()
		c.stop()
	})
}

func TestCreditsOfUnreachableHomeExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		ctx, cancel := context.WithCancel(t.Context())
		wait := c.runItems(ctx, 20)
		time.Sleep(time.Second)
		lost := c.nodes[2] // the only node of its zone, hence the home of r2 and r3
		c.partition(lost)
		lost.stop()
		time.Sleep(DefaultOptions().TimeToLive + 100*time.Millisecond)
		if batch := c.count(c.batch, "r2") + c.count(c.batch, "r3"); batch != 0 {
			t.Errorf("%d items run on credits that nobody renews", batch)
		}
		c.mutex.Lock()
		members := append([]membership.Member(nil), c.view.Members...)
		members[2].State = membership.Dead
		c.view = &membership.View{Version: 2, Members: members}
		viewers := c.subscribers
		c.mutex.Unlock()
		for _, notify := range viewers {
			notify(c.view)
		}
		time.Sleep(time.Second)
		c.expectThroughput("r0", "r1", "r2", "r3")
		cancel()
		wait()
		c.nodes = c.nodes[:2]
		c.stop()
		lost.transport.Stop()
	})
}
