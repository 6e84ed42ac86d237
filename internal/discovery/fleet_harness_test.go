package discovery

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/snapshotcache"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

// fleetDelay is the one-way delay between two nodes.
const fleetDelay = time.Millisecond

// fleetTranslator decodes replica entries of the form "service zone version", without a version for none, with an optional "!" for
// draining.
type fleetTranslator struct{ plainTranslator }

func (t fleetTranslator) Replica(key string, value []byte) (replica.Info, error) {
	text, draining := strings.CutSuffix(string(value), "!")
	service, location, _ := strings.Cut(text, " ")
	zone, version, _ := strings.Cut(location, " ")
	var number uint16
	if _, err := fmt.Sscanf(key, "replicas/r%d", &number); err != nil {
		return replica.Info{}, err
	}
	return replica.Info{
		ID: t.ReplicaID(key), Service: service, Zone: zone, Version: version, Slots: 8, Draining: draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 8000),
	}, nil
}

var fleetZones = []string{"z1", "z2", "z3"}

// fleetNode is one node of a testFleet.
type fleetNode struct {
	id        membership.NodeID
	address   netip.AddrPort
	directory *replica.Directory
	routes    *route.Holder
	viewer    *membershiptest.Viewer
	transport *memory.Transport
	feed      *changefeed.Feed
	service   *Service
	// copies is nil unless testFleet.withCopies is set.
	copies *snapshotcache.Cache
	// registry holds the metrics of transport.
	registry *prometheus.Registry
	running  bool
}

// testFleet runs several nodes against one store. All know each other from the start.
type testFleet struct {
	t       *testing.T
	store   platform.KeyValue
	network *memory.Network
	nodes   []*fleetNode
	// listings logs the listings that nodes requested from the store, for the output of a failed test.
	listings listingLog
	// withCopies gives each node a cache of what it follows, and makes the first relay read long lists for the others.
	withCopies bool
	// connect returns a node's access to the store, with the monitor of it; nil makes all nodes use store.
	connect func(node *fleetNode) (platform.KeyValue, changefeed.ServiceMonitor)
}

// newTestFleet returns a fleet of nodes that are not started. Every fifth node has a data folder.
func newTestFleet(t *testing.T, store platform.KeyValue, count int) *testFleet {
	fleet := &testFleet{t: t, store: store, network: memory.NewNetwork(1)}
	fleet.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: fleetDelay}
	})
	for number := range count {
		fleet.nodes = append(fleet.nodes, &fleetNode{
			id:      membership.NodeID(fmt.Sprintf("node-%04d", number)),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 250), byte(number%250 + 1)}), 7000),
		})
	}
	return fleet
}

// members returns all nodes as members; those that were stopped are dead.
func (f *testFleet) members() []membership.Member {
	var members []membership.Member
	for number, node := range f.nodes {
		member := membership.Member{
			ID: node.id, Zone: fleetZones[number%len(fleetZones)], PeerAddress: node.address, Store: number%5 == 0,
		}
		if node.transport != nil && !node.running {
			member.State = membership.Dead
		}
		members = append(members, member)
	}
	return members
}

func (f *testFleet) start() {
	for _, node := range f.nodes {
		node.running = true
	}
	members := f.members()
	for number, node := range f.nodes {
		f.startNode(node, members[number].Zone, members)
	}
}

func (f *testFleet) startNode(node *fleetNode, zone string, members []membership.Member) {
	var err error
	node.registry = prometheus.NewRegistry()
	node.transport, err = memory.NewTransport(f.network, node.address, node.registry)
	if err != nil {
		f.t.Fatal(err)
	}
	node.viewer = membershiptest.NewViewer(&membership.View{Self: node.id, Members: members})
	node.directory = replica.NewDirectory()
	node.routes = route.NewHolder()
	store := f.store
	var monitor changefeed.ServiceMonitor
	if f.connect != nil {
		store, monitor = f.connect(node)
	}
	history, _ := store.(platform.ChangeReader)
	node.feed = changefeed.New(loggedStore{KeyValue: store, node: node.id, log: &f.listings},
		node.transport, node.transport, node.viewer, zerolog.Nop())
	if monitor != nil {
		node.feed.Monitor(monitor)
	}
	all, keeper := roster.New(), roster.NewKeeper(node.directory)
	options := Options{
		Store: node.feed, Translator: fleetTranslator{}, Routes: node.routes, Directory: node.directory, Viewer: node.viewer,
		Reporter: &fixedViewer{}, Roster: all, Keeper: keeper, Node: node.id, Zone: zone, RetryNow: node.feed.RetryNow,
		Changes: history, Checked: node.feed.Checked, Logger: zerolog.Nop(),
	}
	node.feed.WatchAlone("replicas/", roster.MaxFullList, all.Long)
	roster.NewRelay(all, func() bool { return !node.feed.Answered() }, node.transport)
	followerOptions := roster.FollowerOptions{
		Node: node.id, Zone: zone, Caller: node.transport, Viewer: node.viewer, Keeper: keeper, Logger: zerolog.Nop(),
	}
	if !hasStore(members, node.id) {
		followerOptions.Seeds = f.seeds()
	}
	options.Relays = roster.NewFollower(followerOptions)
	if f.withCopies {
		node.copies = f.copiesOf(node)
		options.Store, options.Copies = node.copies, node.copies
	}
	node.service = New(options)
	node.transport.Start()
	node.feed.Start()
	if f.withCopies {
		node.copies.Start()
	}
	node.service.Start()
}

// copiesOf returns a cache of what a node follows.
func (f *testFleet) copiesOf(node *fleetNode) *snapshotcache.Cache {
	copies, err := snapshotcache.New(snapshotcache.Options{
		Lister: func() (snapshotcache.Lister, bool) {
			first, found := zonerelay.Select(node.viewer.View()).First()
			return snapshotcache.Lister{Address: first.PeerAddress, Self: first.ID == node.id}, found
		},
		MaxShortEntries: roster.MaxFullList, Store: node.feed, Caller: node.transport, Registrar: node.transport, Viewer: node.viewer,
		Join: func(netip.AddrPort) {}, ServiceUnanswered: node.feed.Unanswered, Seeds: f.seeds(),
		Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return copies
}

// seeds returns the addresses of the first three nodes with a data folder, or of all of them if there are fewer.
func (f *testFleet) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for number := 0; number < len(f.nodes) && len(seeds) < 3; number += 5 {
		seeds = append(seeds, f.nodes[number].address)
	}
	return seeds
}

func hasStore(members []membership.Member, id membership.NodeID) bool {
	return slices.ContainsFunc(members, func(member membership.Member) bool { return member.ID == id && member.Store })
}

func (f *testFleet) stop() {
	for _, node := range f.nodes {
		if node.running {
			f.stopNode(node)
		}
	}
}

// stopNode stops a node without a leaving message. It stays alive in the other nodes' views until publishLosses.
func (f *testFleet) stopNode(node *fleetNode) {
	node.running = false
	node.service.Stop()
	if node.copies != nil {
		node.copies.Stop()
	}
	node.feed.Stop()
	node.transport.Stop()
}

// publishLosses updates the views of the running nodes, in which the stopped ones become dead.
func (f *testFleet) publishLosses() {
	members := f.members()
	for _, node := range f.nodes {
		if node.running {
			node.viewer.Set(&membership.View{Self: node.id, Members: members})
		}
	}
}

// registerReplicas writes the entries of the replicas with numbers from from up to but not including to, perSecond of them per second.
func registerReplicas(store *boundedStore, from, to, perSecond int) {
	const step = 100 * time.Millisecond
	for number := from; number < to; {
		for range max(1, perSecond/int(time.Second/step)) {
			if number < to {
				store.put(replicaKey(number), replicaValue(number))
			}
			number++
		}
		time.Sleep(step)
	}
}

func replicaKey(number int) string { return fmt.Sprintf("replicas/r%05d", number) }

func replicaValue(number int) string { return "s " + fleetZones[number%len(fleetZones)] }

// usable returns the number of replicas to which a node may send requests.
func (n *fleetNode) usable() int {
	count := 0
	for handle := range n.directory.View().All() {
		if handle.Usable() {
			count++
		}
	}
	return count
}

// isolate drops all messages between a node and the others.
func (f *testFleet) isolate(node *fleetNode) {
	f.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: fleetDelay, Cut: from == node.address || to == node.address}
	})
}

// heal ends the isolation of all nodes.
func (f *testFleet) heal() {
	f.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: fleetDelay}
	})
}

// partRequests returns the number of requests for parts that all nodes have sent to relays.
func (f *testFleet) partRequests() int {
	frames := 0.0
	for _, node := range f.nodes {
		families, err := node.registry.Gather()
		if err != nil {
			f.t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != transport.MetricFrames {
				continue
			}
			for _, metric := range family.GetMetric() {
				labels := fmt.Sprint(metric.GetLabel())
				if strings.Contains(labels, "roster.follow") && strings.Contains(labels, transport.DirectionSent) {
					frames += metric.GetCounter().GetValue()
				}
			}
		}
	}
	// The relays' responses are counted as sent frames too.
	return int(frames / 2)
}

// unreachableCaller is a transport.Caller that reaches no node.
type unreachableCaller struct{}

func (unreachableCaller) Call(context.Context, netip.AddrPort, transport.Method, proto.Message, proto.Message) error {
	return transport.KindNotSent.New("nobody is reached")
}

func (unreachableCaller) Send(netip.AddrPort, transport.Method, proto.Message) error {
	return transport.KindNotSent.New("nobody is reached")
}
