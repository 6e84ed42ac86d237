package membership

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

const testPort = 7000

// cluster runs services on virtual time. Node i is in zone i % zones, and zone z is in region z %
// regions.
type cluster struct {
	t        *testing.T
	network  *memory.Network
	zones    int
	regions  int
	nodes    []*clusterNode
	byAddr   map[netip.AddrPort]*clusterNode
	machines platform.MachineList
	// joinFirst is the JoinFirst of nodes started from now on.
	joinFirst time.Duration

	// mutex guards the fault settings, which the network reads for each frame.
	mutex    sync.Mutex
	loss     float64
	slow     time.Duration // added to each delay
	cut      func(from, to *clusterNode) bool
	silenced map[*clusterNode]bool // nodes whose machine is lost: all their traffic is dropped
}

type clusterNode struct {
	number    int
	member    Member
	service   *Service
	transport *memory.Transport
}

func newCluster(t *testing.T, count, zones, regions int, seed uint64) *cluster {
	c := &cluster{
		t: t, network: memory.NewNetwork(seed), zones: zones, regions: regions,
		cut:      func(_, _ *clusterNode) bool { return false },
		byAddr:   make(map[netip.AddrPort]*clusterNode),
		silenced: make(map[*clusterNode]bool),
	}
	c.network.SetConditions(c.conditions)
	for number := range count {
		zone := number % zones
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), testPort)
		node := &clusterNode{number: number, member: Member{
			ID:          NodeID(fmt.Sprintf("node-%03d", number)),
			Region:      fmt.Sprintf("region-%d", zone%regions),
			Zone:        fmt.Sprintf("zone-%d", zone),
			PeerAddress: address,
		}}
		c.nodes = append(c.nodes, node)
		c.byAddr[address] = node
	}
	for _, node := range c.nodes {
		c.start(node)
	}
	return c
}

func (c *cluster) conditions(from, to netip.AddrPort) memory.Conditions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sender, receiver := c.byAddr[from], c.byAddr[to]
	conditions := memory.Conditions{Delay: 200 * time.Microsecond, Jitter: 100 * time.Microsecond, Loss: c.loss}
	if sender.member.Zone != receiver.member.Zone {
		conditions.Delay = time.Millisecond
	}
	if sender.member.Region != receiver.member.Region {
		conditions.Delay = 40 * time.Millisecond
	}
	conditions.Delay += c.slow
	conditions.Cut = c.silenced[sender] || c.silenced[receiver] || c.cut(sender, receiver)
	return conditions
}

func (c *cluster) setLoss(loss float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.loss = loss
}

func (c *cluster) setSlow(slow time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.slow = slow
}

// setCut cuts the connections for which cut returns true; nil heals the network.
func (c *cluster) setCut(cut func(from, to *clusterNode) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cut == nil {
		cut = func(_, _ *clusterNode) bool { return false }
	}
	c.cut = cut
}

func (c *cluster) setSilenced(node *clusterNode, silenced bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silenced[node] = silenced
}

func (c *cluster) isSilenced(node *clusterNode) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.silenced[node]
}

// start starts a node, or restarts it under a new incarnation.
func (c *cluster) start(node *clusterNode) {
	c.t.Helper()
	registry := prometheus.NewRegistry()
	transport, err := memory.NewTransport(c.network, node.member.PeerAddress, registry)
	if err != nil {
		c.t.Fatal(err)
	}
	self := node.member
	self.Incarnation = uint64(time.Now().UnixMicro())
	timing := DefaultTiming()
	timing.JoinFirst = c.joinFirst
	node.service, err = New(Options{
		Self:       self,
		Seeds:      []netip.AddrPort{c.nodes[0].member.PeerAddress, c.nodes[min(1, len(c.nodes)-1)].member.PeerAddress},
		Timing:     timing,
		RandomSeed: uint64(node.number),
	}, transport, c.machines, registry, zerolog.Nop())
	if err != nil {
		c.t.Fatal(err)
	}
	node.transport = transport
	c.setSilenced(node, false)
	transport.Start()
	node.service.Start()
}

// kill simulates the loss of a node's machine.
func (c *cluster) kill(node *clusterNode) {
	c.setSilenced(node, true)
	node.service.Kill()
	node.transport.Stop()
}

// restart stops a node as planned and starts it again after downFor.
func (c *cluster) restart(node *clusterNode, downFor time.Duration) {
	if err := node.service.Leave(c.t.Context()); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	node.service.Stop()
	node.transport.Stop()
	time.Sleep(downFor)
	c.start(node)
}

func (c *cluster) stopAll() {
	for _, node := range c.nodes {
		node.service.Kill()
		node.transport.Stop()
	}
	synctest.Wait()
}

// stateOf returns the state of subject in observer's view; Dead if it is not in it.
func stateOf(observer, subject *clusterNode) State {
	member, present := observer.service.View().Find(subject.member.ID)
	if !present {
		return Dead
	}
	return member.State
}

// await checks condition every 50 ms of virtual time and returns how long it took to hold on all
// nodes that are not silenced; it fails the test after limit.
func (c *cluster) await(limit time.Duration, what string, condition func(observer *clusterNode) bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for {
		waiting := ""
		for _, node := range c.nodes {
			if !c.isSilenced(node) && !condition(node) {
				waiting = string(node.member.ID)
				break
			}
		}
		if waiting == "" {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			c.t.Fatalf("%s: does not hold on %s after %s", what, waiting, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// seesAll reports whether observer holds every node alive.
func (c *cluster) seesAll(observer *clusterNode) bool {
	for _, node := range c.nodes {
		if stateOf(observer, node) != Alive {
			return false
		}
	}
	return true
}

func (c *cluster) awaitAll(limit time.Duration) time.Duration {
	c.t.Helper()
	return c.await(limit, "all alive", c.seesAll)
}

// awaitDeadInZone returns how long it took until all members of the victim's zone held it dead; it
// fails the test after zoneLimit.
func (c *cluster) awaitDeadInZone(victim *clusterNode) time.Duration {
	c.t.Helper()
	return c.await(zoneLimit, "dead in its zone", func(observer *clusterNode) bool {
		return observer.member.Zone != victim.member.Zone || stateOf(observer, victim) == Dead
	})
}

// watchDeaths starts recording each view that holds a node dead, and returns a function that
// returns the records.
func (c *cluster) watchDeaths() func() []string {
	var views []func() []string
	for _, node := range c.nodes {
		dead := make(chan string, 10000)
		node.service.Subscribe(func(view *View) {
			for _, member := range view.Members {
				if member.State == Dead {
					dead <- string(member.ID) + " on " + string(node.member.ID)
				}
			}
		})
		views = append(views, func() []string {
			var all []string
			for len(dead) > 0 {
				all = append(all, <-dead)
			}
			return all
		})
	}
	return func() []string {
		var all []string
		for _, view := range views {
			all = append(all, view()...)
		}
		return all
	}
}
