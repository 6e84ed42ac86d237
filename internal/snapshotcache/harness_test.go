package snapshotcache

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// prefix is the prefix that the nodes follow.
const prefix = "k/"

// cluster is a set of nodes on one network.
type cluster struct {
	t       *testing.T
	network *memory.Network
	nodes   []*node
	// fetches counts the calls between nodes.
	mutex   sync.Mutex
	fetches int
}

func newCluster(t *testing.T) *cluster { return &cluster{t: t, network: memory.NewNetwork(1)} }

// node is one process with a Cache that follows prefix.
type node struct {
	cluster   *cluster
	cache     *Cache
	transport *memory.Transport
	address   netip.AddrPort
	cancel    context.CancelFunc
	running   sync.WaitGroup
	mutex     sync.Mutex
	view      membership.View
	// copies and listings are the revisions of the copies and listings received, in order.
	copies   []int64
	listings []int64
	joined   []netip.AddrPort
	unheard  bool
	// held is the content in use on the node.
	held map[string]string
}

// nodeOptions are the service, folder, seeds and members that a node starts with.
type nodeOptions struct {
	store   platform.KeyValue
	folder  string
	seeds   []netip.AddrPort
	members []membership.Member
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7720)
}

func memberOf(number int, store bool) membership.Member {
	return membership.Member{ID: membership.NodeID(fmt.Sprintf("n%03d", number)), PeerAddress: addressOf(number), Store: store}
}

func (n *node) View() *membership.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	view := n.view
	return &view
}

func (n *node) Subscribe(func(*membership.View)) func() { return func() {} }

// countingCaller counts calls.
type countingCaller struct {
	*memory.Transport
	cluster *cluster
}

func (c countingCaller) Call(ctx context.Context, to netip.AddrPort, method transport.Method, request, response proto.Message) error {
	c.cluster.mutex.Lock()
	c.cluster.fetches++
	c.cluster.mutex.Unlock()
	return c.Transport.Call(ctx, to, method, request, response)
}

func (c *cluster) asked() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fetches
}

// start starts node number, which follows prefix like the discovery service does.
func (c *cluster) start(number int, options nodeOptions) *node {
	c.t.Helper()
	access, err := memory.NewTransport(c.network, addressOf(number), prometheus.NewRegistry())
	if err != nil {
		c.t.Fatal(err)
	}
	started := &node{cluster: c, transport: access, address: addressOf(number), held: map[string]string{}}
	self := memberOf(number, options.folder != "")
	started.view = membership.View{Self: self.ID, Members: append([]membership.Member{self}, options.members...)}
	started.cache, err = New(Options{
		Store: options.store, Caller: countingCaller{access, c}, Registrar: access, Viewer: started,
		Join: func(address netip.AddrPort) {
			started.mutex.Lock()
			defer started.mutex.Unlock()
			started.joined = append(started.joined, address)
		},
		ServiceUnanswered: func() bool {
			started.mutex.Lock()
			defer started.mutex.Unlock()
			return started.unheard
		},
		Seeds: options.seeds, DataFolder: options.folder, RandomSeed: uint64(number), Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	started.cache.CachePrefix(prefix, started.takeCopy)
	access.Start()
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	started.running.Go(func() {
		platform.Follow(ctx, started.cache, prefix, platform.Follower{
			Replace: started.takeListing,
			Update:  started.takeChange,
			OnError: func(error) {},
		})
	})
	started.cache.Start()
	c.nodes = append(c.nodes, started)
	return started
}

func (n *node) replace(entries []platform.Entry) {
	clear(n.held)
	for _, entry := range entries {
		n.held[entry.Key] = string(entry.Value)
	}
}

func (n *node) takeCopy(copied platform.Listing) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.copies = append(n.copies, copied.Revision)
	n.replace(copied.Entries)
}

func (n *node) takeListing(listing platform.Listing) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listings = append(n.listings, listing.Revision)
	n.replace(listing.Entries)
}

func (n *node) takeChange(_ int64, changed []platform.Entry, _ []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, entry := range changed {
		n.held[entry.Key] = string(entry.Value)
	}
}

// stop stops a node; to the other nodes this looks like a power loss.
func (n *node) stop() {
	n.cancel()
	n.cache.Stop()
	n.running.Wait()
	n.transport.Stop()
}

func (c *cluster) stop() {
	for _, running := range c.nodes {
		running.stop()
	}
	c.nodes = nil
	synctest.Wait()
}

// state returns the revisions that a node has received so far and the content in use.
func (n *node) state() (copies, listings []int64, held map[string]string) {
	synctest.Wait()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	held = map[string]string{}
	for key, value := range n.held {
		held[key] = value
	}
	return slices.Clone(n.copies), slices.Clone(n.listings), held
}

// wantCopies checks the revisions of the copies that a node has received.
func (n *node) wantCopies(want ...int64) {
	n.cluster.t.Helper()
	if copies, _, _ := n.state(); !slices.Equal(copies, want) {
		n.cluster.t.Errorf("copies taken: %v, want %v", copies, want)
	}
}

// wantServed checks which revision a node sends to one that has no content.
func (n *node) wantServed(want int64) {
	n.cluster.t.Helper()
	response := n.cache.newerCopies(&snapshotcachepb.FetchRequest{Known: []*snapshotcachepb.Known{{Prefix: prefix}}})
	if len(response.Copies) != 1 || response.Copies[0].Revision != want {
		n.cluster.t.Errorf("sends %v, want revision %d", response.Copies, want)
	}
}
