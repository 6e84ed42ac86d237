package relay_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/config/relay"
	"github.com/sloelift/sloelift/internal/membership"
	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
	"github.com/sloelift/sloelift/lab/platform"
)

const networkDelay = time.Millisecond

// cluster is a set of nodes in virtual time with the fake platform in process. Membership is
// a directory whose changes all nodes see at once.
type cluster struct {
	t       testing.TB
	network *memory.Network
	// open creates a node's transport and key-value client; newMemoryEndpoint unless a test replaces it.
	open func(*clusterNode) (peerTransport, port.KeyValue)
	// gossip enables the real membership in place of the directory.
	gossip   bool
	platform *platform.Server
	zones    []string
	nodes    []*clusterNode

	mutex       sync.Mutex
	subscribers map[int]func(*membership.View)
	last        int
	live        map[membership.NodeID]membership.Member
}

type clusterNode struct {
	cluster   *cluster
	member    membership.Member
	seed      uint64
	transport peerTransport
	registry  *prometheus.Registry
	service   *relay.Service
	members   *membership.Service
	// dataFolder is empty on a node without persistent storage.
	dataFolder string

	mutex     sync.Mutex
	revisions []int64
}

func newCluster(t testing.TB, zones, nodesPerZone int) *cluster {
	c := &cluster{
		t: t, network: memory.NewNetwork(1), platform: platform.NewServer(platform.Options{Seed: 1}),
		subscribers: make(map[int]func(*membership.View)),
		live:        make(map[membership.NodeID]membership.Member),
	}
	for zone := range zones {
		c.zones = append(c.zones, fmt.Sprintf("zone-%d", zone))
	}
	c.open = newMemoryEndpoint
	c.lose(0)
	for index := range zones * nodesPerZone {
		address := netip.AddrFrom4([4]byte{127, 1, byte(index % zones), byte(index / zones)})
		c.nodes = append(c.nodes, &clusterNode{cluster: c, seed: uint64(index), member: membership.Member{
			ID:          membership.NodeID(fmt.Sprintf("node-%03d", index)),
			Zone:        c.zones[index%zones],
			PeerAddress: netip.AddrPortFrom(address, 1),
		}})
	}
	return c
}

// lose sets the share of frames that are lost, and heals a cut.
func (c *cluster) lose(share float64) {
	c.network.SetConditions(func(_, _ netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: networkDelay, Jitter: networkDelay, Loss: share}
	})
}

// cutZone partitions the first zone from the others.
func (c *cluster) cutZone() {
	c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: networkDelay, Cut: (zoneByte(from) == 0) != (zoneByte(to) == 0)}
	})
}

func zoneByte(address netip.AddrPort) byte { return address.Addr().As4()[2] }

func (c *cluster) start() {
	for _, node := range c.nodes {
		node.start()
	}
}

func (c *cluster) stop() {
	for _, node := range c.nodes {
		node.stop()
	}
}

// peerTransport is a node's endpoint in the network.
type peerTransport interface {
	transport.Caller
	transport.Registrar
	// Start returns the address at which others reach this endpoint.
	Start() netip.AddrPort
	Stop()
}

type memoryTransport struct{ *memory.Transport }

func (t memoryTransport) Start() netip.AddrPort {
	t.Transport.Start()
	return t.Address()
}

func newMemoryEndpoint(node *clusterNode) (peerTransport, port.KeyValue) {
	c := node.cluster
	endpoint, err := memory.NewTransport(c.network, node.member.PeerAddress, node.registry)
	if err != nil {
		c.t.Fatal(err)
	}
	return memoryTransport{endpoint}, c.platform.KeyValue(node.member.Zone)
}

func (n *clusterNode) start() {
	n.seed += 1000
	n.registry = prometheus.NewRegistry()
	endpoint, keyValue := n.cluster.open(n)
	n.transport = endpoint
	options := relay.Options{
		Self: n.member, Viewer: &viewer{cluster: n.cluster, self: n.member.ID}, Caller: endpoint,
		KeyValue: keyValue, Logger: zerolog.Nop(), Seed: n.seed,
		Registerer: n.registry, DataFolder: n.dataFolder,
	}
	if n.cluster.gossip {
		n.members = n.newMembership(endpoint)
		options.Viewer, options.Reporter = n.members, n.members
	}
	service, err := relay.New(options, endpoint)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	n.service = service
	n.revisions = nil
	n.service.Subscribe(func(snapshot *config.Snapshot) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.revisions = append(n.revisions, snapshot.Revision)
	})
	n.member.PeerAddress = endpoint.Start()
	n.cluster.setLive(n, true)
	if n.members != nil {
		n.members.Start()
	}
	n.service.Start()
}

// newMembership returns a membership service whose seeds are the first two nodes of each zone.
func (n *clusterNode) newMembership(endpoint peerTransport) *membership.Service {
	self := n.member
	self.Incarnation = n.seed
	var seeds []netip.AddrPort
	for _, node := range n.cluster.nodes[:2*len(n.cluster.zones)] {
		seeds = append(seeds, node.member.PeerAddress)
	}
	members, err := membership.New(membership.Options{
		Self: self, Seeds: seeds, Timing: membership.DefaultTiming(), RandomSeed: n.seed,
	}, endpoint, nil, n.registry, zerolog.Nop())
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return members
}

// stop stops a node without notice to the others.
func (n *clusterNode) stop() {
	n.service.Stop()
	if n.members != nil {
		n.members.Kill()
	}
	n.transport.Stop()
}

func (n *clusterNode) ready() bool {
	select {
	case <-n.service.Ready():
		return true
	default:
		return false
	}
}

// wantIncreasing checks that each node's revisions are strictly increasing.
func (c *cluster) wantIncreasing() {
	c.t.Helper()
	for _, node := range c.nodes {
		node.mutex.Lock()
		for index := 1; index < len(node.revisions); index++ {
			if node.revisions[index] <= node.revisions[index-1] {
				c.t.Errorf("%s had revisions %v", node.member.ID, node.revisions)
			}
		}
		node.mutex.Unlock()
	}
}

// apply applies a file that declares one tenant and returns its revision.
func (c *cluster) apply(name string) int64 {
	c.t.Helper()
	store := config.NewStore(c.platform.KeyValue(platform.AnyZone), zerolog.Nop())
	result, err := store.Apply(c.t.Context(), tenantFile(name), config.AnyRevision)
	if err != nil {
		c.t.Fatal(err)
	}
	return result.Revision
}

func tenantFile(name string) []byte {
	digest := fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
	return []byte("kind: Tenant\nname: " + name + "\nkeyDigests: [\"" + digest + "\"]\n")
}

// wantSpread waits until all selected nodes have revision and are ready, and returns how
// long it took.
func (c *cluster) wantSpread(revision int64, within time.Duration, selected func(*clusterNode) bool) time.Duration {
	c.t.Helper()
	const poll = 5 * time.Millisecond
	started := time.Now()
	for time.Since(started) < within {
		if c.spread(revision, selected) {
			return time.Since(started)
		}
		time.Sleep(poll)
	}
	for _, node := range c.nodes {
		if selected(node) && (node.service.Current().Revision != revision || !node.ready()) {
			c.t.Errorf("%s has revision %d, ready %v, want %d within %s",
				node.member.ID, node.service.Current().Revision, node.ready(), revision, within)
		}
	}
	c.t.FailNow()
	return 0
}

func (c *cluster) spread(revision int64, selected func(*clusterNode) bool) bool {
	for _, node := range c.nodes {
		if selected(node) && (node.service.Current().Revision != revision || !node.ready()) {
			return false
		}
	}
	return true
}

func everyNode(*clusterNode) bool { return true }

// viewer is one node's view of the directory.
type viewer struct {
	cluster *cluster
	self    membership.NodeID
}

func (v *viewer) View() *membership.View {
	v.cluster.mutex.Lock()
	defer v.cluster.mutex.Unlock()
	view := &membership.View{Self: v.self}
	for _, node := range v.cluster.nodes {
		if member, present := v.cluster.live[node.member.ID]; present {
			view.Members = append(view.Members, member)
		}
	}
	return view
}

func (v *viewer) Subscribe(notify func(*membership.View)) func() {
	c := v.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last++
	id := c.last
	c.subscribers[id] = notify
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.subscribers, id)
	}
}

// setLive adds a node to the directory or removes it, and notifies the subscribers.
func (c *cluster) setLive(node *clusterNode, live bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.live, node.member.ID)
	if live {
		c.live[node.member.ID] = node.member
	}
	for _, notify := range c.subscribers {
		notify(nil)
	}
}

// calls returns the number of calls to the platform so far.
func (c *cluster) calls() int64 {
	var total int64
	for _, count := range c.platform.Counters() {
		total += count.Calls
	}
	return total
}
