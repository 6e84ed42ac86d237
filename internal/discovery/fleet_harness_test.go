package discovery

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

const (
	// boundedPage is the number of entries of a page of a boundedStore, entryBytes what one takes on its link, boundedLatency the time of a call.
	boundedPage    = 200
	entryBytes     = 340
	boundedLatency = 4 * time.Millisecond
	// fleetDelay is one way between two nodes.
	fleetDelay = time.Millisecond
)

// boundedStore is a key-value service whose answers pass one link of bounded rate, one after the other, and which takes so many reading
// calls a second.
type boundedStore struct {
	platform.KeyValue
	bytesPerSecond float64
	readsPerSecond int

	mutex    sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	history  []platform.WatchEvent
	changed  chan struct{}
	// linkFree is when the link has sent all answers; second counts the calls of the present second, calls all.
	linkFree time.Time
	second   map[int64]int
	calls    int
	refused  int
	// down refuses all calls.
	down bool
}

func newBoundedStore(bytesPerSecond float64, readsPerSecond int) *boundedStore {
	return &boundedStore{
		bytesPerSecond: bytesPerSecond, readsPerSecond: readsPerSecond, entries: map[string]platform.Entry{}, changed: make(chan struct{}),
		second: map[int64]int{},
	}
}

// take admits a call.
func (s *boundedStore) take() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return platform.KindUnavailable.New("down")
	}
	now := time.Now().Unix()
	s.second[now]++
	if s.second[now] > s.readsPerSecond {
		s.refused++
		return platform.KindRateLimited.New("status 429")
	}
	return nil
}

// send waits until an answer with so many entries has come.
func (s *boundedStore) send(ctx context.Context, entries int) error {
	s.mutex.Lock()
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(time.Duration(float64(entries*entryBytes) / s.bytesPerSecond * float64(time.Second)))
	wait := s.linkFree.Sub(now) + boundedLatency
	s.mutex.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *boundedStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	var listing platform.Listing
	after := ""
	for {
		if err := s.take(); err != nil {
			return platform.Listing{}, err
		}
		page, at, more := s.page(prefix, after)
		if err := s.send(ctx, len(page)); err != nil {
			return platform.Listing{}, err
		}
		listing.Revision = cmp.Or(listing.Revision, at)
		listing.Entries = append(listing.Entries, page...)
		if !more {
			return listing, nil
		}
		if err := platform.TooMany(ctx, len(listing.Entries)); err != nil {
			return platform.Listing{}, err
		}
		after = page[len(page)-1].Key
	}
}

func (s *boundedStore) page(prefix, after string) (page []platform.Entry, at int64, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page) == boundedPage {
			return page, s.revision, true
		}
		page = append(page, s.entries[key])
	}
	return page, s.revision, false
}

func (s *boundedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan platform.WatchEvent, error) {
	events := make(chan platform.WatchEvent)
	go func() {
		defer close(events)
		since := from - 1
		for ctx.Err() == nil {
			answer, at, err := s.hold(ctx, prefix, since)
			if err != nil {
				answer = []platform.WatchEvent{{Err: err}}
			}
			for _, event := range answer {
				select {
				case events <- event:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
			since = at
		}
	}()
	return events, nil
}

// hold answers one held call.
func (s *boundedStore) hold(ctx context.Context, prefix string, since int64) ([]platform.WatchEvent, int64, error) {
	if err := s.take(); err != nil {
		return nil, 0, err
	}
	s.mutex.Lock()
	changed, quiet := s.changed, s.revision <= since
	s.mutex.Unlock()
	if quiet {
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	s.mutex.Lock()
	var answer []platform.WatchEvent
	for _, event := range s.history {
		if event.Revision > since && eventIsBelow(event, prefix) {
			event.More = true
			answer = append(answer, event)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	err := s.send(ctx, len(answer))
	return append(answer, platform.WatchEvent{Revision: at}), at, err
}

func eventIsBelow(event platform.WatchEvent, prefix string) bool {
	for _, entry := range event.Changed {
		return strings.HasPrefix(entry.Key, prefix)
	}
	return slices.ContainsFunc(event.Deleted, func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// put writes a key, or removes it where value is empty.
func (s *boundedStore) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	event := platform.WatchEvent{Revision: s.revision}
	if value == "" {
		delete(s.entries, key)
		event.Deleted = []string{key}
	} else {
		s.entries[key] = platform.Entry{Key: key, Value: []byte(value), ModRevision: s.revision}
		event.Changed = []platform.Entry{s.entries[key]}
	}
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *boundedStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *boundedStore) callsMade() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// fleetTranslator reads values "service zone", with an optional "!" for draining.
type fleetTranslator struct{ plainTranslator }

func (t fleetTranslator) Replica(key string, value []byte) (replica.Info, error) {
	text, draining := strings.CutSuffix(string(value), "!")
	service, zone, _ := strings.Cut(text, " ")
	var number uint16
	if _, err := fmt.Sscanf(key, "replicas/r%d", &number); err != nil {
		return replica.Info{}, err
	}
	return replica.Info{
		ID: t.ReplicaID(key), Service: service, Zone: zone, Slots: 8, Draining: draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 8000),
	}, nil
}

var fleetZones = []string{"z1", "z2", "z3"}

// fleetNode is one node of a testFleet.
type fleetNode struct {
	id        membership.NodeID
	address   netip.AddrPort
	directory *replica.Directory
	viewer    *membershiptest.Viewer
	transport *memory.Transport
	feed      *changefeed.Feed
	service   *Service
	// registry holds the figures of transport.
	registry *prometheus.Registry
	running  bool
}

// testFleet is a number of nodes before one store. All know each other from the start.
type testFleet struct {
	t       *testing.T
	store   platform.KeyValue
	network *memory.Network
	nodes   []*fleetNode
}

// newTestFleet returns nodes that have not been started: every fifth has a data folder.
func newTestFleet(t *testing.T, store platform.KeyValue, count int) *testFleet {
	fleet := &testFleet{t: t, store: store, network: memory.NewNetwork(1)}
	fleet.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions { return memory.Conditions{Delay: fleetDelay} })
	for number := range count {
		fleet.nodes = append(fleet.nodes, &fleetNode{
			id:      membership.NodeID(fmt.Sprintf("node-%04d", number)),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 250), byte(number%250 + 1)}), 7000),
		})
	}
	return fleet
}

// members are all nodes, the lost ones dead.
func (f *testFleet) members() []membership.Member {
	var members []membership.Member
	for number, node := range f.nodes {
		member := membership.Member{ID: node.id, Zone: fleetZones[number%len(fleetZones)], PeerAddress: node.address, Store: number%5 == 0}
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
	node.feed = changefeed.New(f.store, node.transport, node.transport, node.viewer, zerolog.Nop())
	all, keeper := roster.New(), roster.NewKeeper(node.directory)
	options := Options{
		Store: node.feed, Translator: fleetTranslator{}, Routes: route.NewHolder(), Directory: node.directory, Viewer: node.viewer,
		Reporter: &fixedViewer{}, Roster: all, Keeper: keeper, Node: node.id, Zone: zone, Logger: zerolog.Nop(),
	}
	node.feed.WatchAlone("replicas/", all.Long)
	roster.NewRelay(all, func() bool { return !node.feed.Answered() }, node.transport)
	following := roster.FollowerOptions{
		Node: node.id, Zone: zone, Caller: node.transport, Viewer: node.viewer, Keeper: keeper, Logger: zerolog.Nop(),
	}
	if !hasStore(members, node.id) {
		following.Seeds = f.seeds()
	}
	options.Relays = roster.NewFollower(following)
	node.service = New(options)
	node.transport.Start()
	node.feed.Start()
	node.service.Start()
}

// seeds are the first nodes with a data folder.
func (f *testFleet) seeds() []netip.AddrPort {
	return []netip.AddrPort{f.nodes[0].address, f.nodes[5].address, f.nodes[10].address}
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

// stopNode ends a node without a word; the others are not shown that it is gone.
func (f *testFleet) stopNode(node *fleetNode) {
	node.running = false
	node.service.Stop()
	node.feed.Stop()
	node.transport.Stop()
}

// showLost shows the nodes that run which ones do not.
func (f *testFleet) showLost() {
	members := f.members()
	for _, node := range f.nodes {
		if node.running {
			node.viewer.Set(&membership.View{Self: node.id, Members: members})
		}
	}
}

// enter has replicas from one number up to another enter themselves, so many a second.
func enter(store *boundedStore, from, to, perSecond int) {
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

// usable counts the replicas that a node may send requests to.
func (n *fleetNode) usable() int {
	count := 0
	for handle := range n.directory.View().All() {
		if handle.Usable() {
			count++
		}
	}
	return count
}

// cut has nothing pass between a node and the others.
func (f *testFleet) cut(node *fleetNode) {
	f.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: fleetDelay, Cut: from == node.address || to == node.address}
	})
}

// heal ends all cuts.
func (f *testFleet) heal() {
	f.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions { return memory.Conditions{Delay: fleetDelay} })
}

// questions counts the questions for parts that all nodes have sent.
func (f *testFleet) questions() int {
	asked := 0.0
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
					asked += metric.GetCounter().GetValue()
				}
			}
		}
	}
	// A relay's answers are counted as sent too.
	return int(asked / 2)
}
