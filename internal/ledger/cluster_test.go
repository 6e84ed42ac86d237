package ledger

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// testNode is one node of a cluster; its disk survives restarts.
type testNode struct {
	id        membership.NodeID
	address   netip.AddrPort
	disk      *vfs.MemFS
	free      uint64
	store     *store.Store
	transport *memory.Transport
	manager   *Manager
	mutex     sync.Mutex
	registers map[PartitionID]*register
	running   bool
}

const reportedLogBytes = 8 << 10

// cluster is a set of nodes over an in-memory network, on virtual time.
type cluster struct {
	t        *testing.T
	network  *memory.Network
	keyValue *memoryKeyValue
	view     *sharedView
	ledger   settings.Ledger
	timing   Timing
	nodes    []*testNode
	// added is the number of nodes created so far, so that a new one never has the name of a killed one.
	added  int
	checks int
	// regionOf is the region of each node and of its zone.
	regionOf map[membership.NodeID]string
	// confined are the confined keys that each node is started with.
	confined []Confined
	log      *logBuffer
	logger   zerolog.Logger
}

// logBuffer collects the nodes' log output, which is printed if a test fails. It is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  []byte
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.text = append(b.text, line...)
	return len(line), nil
}

func (b *logBuffer) tail(size int) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return string(b.text[max(0, len(b.text)-size):])
}

// size returns the number of bytes logged so far.
func (b *logBuffer) size() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.text)
}

// since returns what was logged after the first size bytes.
func (b *logBuffer) since(size int) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return string(b.text[size:])
}

func newCluster(t *testing.T, seed uint64) *cluster {
	log := &logBuffer{}
	timing := DefaultTiming()
	timing.Replace = 10 * time.Second
	network := memory.NewNetwork(seed)
	network.SetConditions(normalConditions)
	return &cluster{
		t: t, network: network, keyValue: newMemoryKeyValue(),
		view: &sharedView{}, ledger: settings.Ledger{Partitions: 2, Replicas: 4, WriteQuorum: 3}, timing: timing,
		log: log, logger: logging.New(log, zerolog.DebugLevel),
	}
}

// linkDelay is the network delay between two nodes. It is not zero: under the race detector the Go 1.26 runtime crashes
// if many goroutines of a synctest bubble set timers that are due at once, as the in-memory network does without a delay.
const linkDelay = time.Millisecond

func normalConditions(netip.AddrPort, netip.AddrPort) memory.Conditions {
	return memory.Conditions{Delay: linkDelay}
}

// add creates a node, with or without a disk, and starts it.
func (c *cluster) add(withDisk bool) *testNode {
	c.added++
	index := c.added
	node := &testNode{
		id: membership.NodeID(fmt.Sprintf("node-%d", index)), free: 1 << 40,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+index)),
	}
	if withDisk {
		node.disk = vfs.NewMem()
	}
	c.nodes = append(c.nodes, node)
	c.start(node)
	return node
}

func (c *cluster) start(node *testNode) {
	c.t.Helper()
	var err error
	if node.transport, err = memory.NewTransport(c.network, node.address, prometheus.NewRegistry()); err != nil {
		c.t.Fatal(err)
	}
	node.store = nil
	incarnation := ""
	if node.disk != nil {
		node.store, err = store.Open("/data", store.Options{Files: node.disk, Logger: zerolog.Nop(), Free: func() (uint64, error) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			return node.free, nil
		}})
		if err != nil {
			c.t.Fatal(err)
		}
		incarnation = string(node.store.ID())
	}
	node.mutex.Lock()
	node.registers = map[PartitionID]*register{}
	node.mutex.Unlock()
	c.view.change(node.id, func(member *membership.Member) {
		member.Zone, member.PeerAddress, member.State = zoneOf(node.id), node.address, membership.Alive
		member.Store, member.StoreIncarnation = node.disk != nil, incarnation
	})
	node.manager = NewManager(Dependencies{
		Settings: settings.Settings{
			Node: string(node.id), Zone: zoneOf(node.id), Region: c.regionOf[node.id], Zones: c.zones(), Ledger: c.ledger,
		},
		Timing: c.timing, Logger: c.logger.With().Str(logging.FieldNode, string(node.id)).Logger(),
		Local: node.store, Caller: node.transport, Registry: node.transport, KeyValue: c.keyValue,
		Viewer: nodeViewer{c.view, node.id}, Factory: node.machine,
	})
	node.transport.Start()
	node.manager.Start()
	node.manager.SetConfined(c.confined)
	node.running = true
}

func zoneOf(node membership.NodeID) string { return "zone-" + string(node) }

func (c *cluster) zones() []settings.Zone {
	var zones []settings.Zone
	for node, name := range c.regionOf {
		zones = append(zones, settings.Zone{Name: zoneOf(node), Region: name})
	}
	return zones
}

func (n *testNode) machine(partition PartitionID) StateMachine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.registers[partition] = &register{mutex: make(channelMutex, 1)}
	return n.registers[partition]
}

func (n *testNode) register(partition PartitionID) *register {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.registers[partition]
}

// stop ends a node without a handover; its disk keeps what was synced.
func (c *cluster) stop(node *testNode) {
	if !node.running {
		return
	}
	node.running = false
	node.transport.Stop()
	node.manager.Stop()
	if node.store != nil {
		if err := node.store.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// kill stops a node for good.
func (c *cluster) kill(node *testNode) {
	c.view.change(node.id, func(member *membership.Member) { member.State = membership.Dead })
	c.stop(node)
	for i, other := range c.nodes {
		if other == node {
			c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
			return
		}
	}
}

// loseDisk stops a node and starts it with an empty disk.
func (c *cluster) loseDisk(node *testNode) {
	c.stop(node)
	node.disk = vfs.NewMem()
	c.start(node)
}

func (c *cluster) stopAll() {
	for _, node := range c.nodes {
		c.stop(node)
	}
}

// eventually waits for a condition, for up to a minute of virtual time.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for range 1200 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("not within a minute: %s; %s\n%s", what, c.describe(), c.log.tail(reportedLogBytes))
}

func (c *cluster) describe() string {
	var text strings.Builder
	for _, node := range c.nodes {
		for _, status := range node.manager.Status() {
			fmt.Fprintf(&text, "\n%s partition %d version %d serving %v committed %d members",
				node.id, status.Partition, status.Ensemble.Version, status.Serving, status.Committed)
			for _, member := range status.Ensemble.Members {
				fmt.Fprintf(&text, " %s/%v", member.Node, member.Joining)
			}
			for _, holding := range status.Holdings {
				fmt.Fprintf(&text, " [%s attached %v failing %v first %d through %d caught up %v]",
					holding.Member.Node, holding.Attached, holding.Failing, holding.First, holding.Through, holding.CaughtUp)
			}
		}
	}
	return text.String()
}

// put appends value to partition at the node that owns it, and retries until the append is acknowledged. Each attempt
// uses a new name, so that every acknowledged value is in the log once. It returns the acknowledged name.
func (c *cluster) put(partition PartitionID, value string) string {
	c.t.Helper()
	attempt := 0
	c.eventually("append "+value, func() bool {
		for _, node := range c.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			machine := node.register(partition)
			var err error = errNotOwner()
			if machine != nil {
				attempt++
				err = machine.put(ctx, fmt.Sprintf("%s/%d", value, attempt))
			}
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return fmt.Sprintf("%s/%d", value, attempt)
}

// owner returns the node that serves partition.
func (c *cluster) owner(partition PartitionID) *testNode {
	c.t.Helper()
	var found *testNode
	c.eventually("an owner", func() bool {
		for _, node := range c.nodes {
			ownership, present := node.manager.ownership(partition)
			if present && ownership.serving.Load() {
				if machine := node.register(partition); machine != nil && machine.serves() {
					found = node
					return true
				}
			}
		}
		return false
	})
	return found
}

func (r *register) serves() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.owned != nil && !r.stopped
}

// check checks that the current owner's state contains the acknowledged values, in order, and no value twice.
func (c *cluster) check(partition PartitionID, acknowledged []string) {
	c.t.Helper()
	c.checks++
	c.put(partition, fmt.Sprint("check-", c.checks))
	values := c.owner(partition).register(partition).list()
	next := 0
	for _, value := range values {
		if next < len(acknowledged) && value == acknowledged[next] {
			next++
		}
	}
	if next < len(acknowledged) {
		c.t.Fatalf("acknowledged %s is missing or out of order in %v", acknowledged[next], values)
	}
	seen := map[string]bool{}
	for _, value := range values {
		if seen[value] {
			c.t.Fatalf("%s is in the log twice", value)
		}
		seen[value] = true
	}
}
