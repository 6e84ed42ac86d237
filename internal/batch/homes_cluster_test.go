package batch

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform/platformtest"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// secret is contained in the bodies and the results of confined jobs, and in nothing else.
const secret = "for home alone"

// clusterNode is a storage node or an edge with its components as a process connects them.
type clusterNode struct {
	id        membership.NodeID
	region    string
	address   netip.AddrPort
	disk      *vfs.MemFS
	store     *store.Store
	transport *memory.Transport
	manager   *ledger.Manager
	client    *Client
	running   bool
}

// regionsCluster consists of storage nodes, edges and replicas in three regions.
type regionsCluster struct {
	t        *testing.T
	network  *memory.Network
	replicas *replicatest.Network
	keyValue *platformtest.KeyValue
	routes   *route.Holder
	nodes    []*clusterNode
	infos    []replica.Info

	mutex sync.Mutex
	view  membership.View
	// secretRegions contains, by method, the regions of the nodes that received the secret, without the node to which the client is
	// connected.
	secretRegions map[transport.Method]map[string]bool
	// connected is the edge of the current client.
	connected netip.AddrPort
}

var clusterRegions = []string{"north", "south", "west"}

const storesInRegion = 4

func newRegionsCluster(t *testing.T, homes region.Set) *regionsCluster {
	t.Helper()
	c := &regionsCluster{
		t: t, network: memory.NewNetwork(1), replicas: &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{}},
		keyValue: platformtest.NewKeyValue(), routes: route.NewHolder(), secretRegions: map[transport.Method]map[string]bool{},
	}
	c.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: time.Millisecond}
	})
	table := testTable(1, true)
	table.Routes[0].Regions = homes
	c.routes.Offer(table)
	for index, name := range clusterRegions {
		address := testAddress(uint16(1000 + index))
		c.replicas.Scripts[address] = replicatest.Stream("s", true, false, "id: 1\ndata: "+secret+"\n\n")
		c.infos = append(c.infos, replica.Info{ID: "replica-" + name, Service: "s", Version: "v1", Zone: "zone-" + name, Address: address, Slots: 8})
		for number := range storesInRegion + 1 {
			node := &clusterNode{
				id: membership.NodeID(fmt.Sprintf("%s-%d", name, number)), region: name, address: testAddress(uint16(9000 + 10*index + number)),
			}
			if number < storesInRegion {
				node.disk = vfs.NewMem()
			}
			c.nodes = append(c.nodes, node)
		}
	}
	for _, node := range c.nodes {
		c.start(node)
	}
	return c
}

func (c *regionsCluster) settings(node *clusterNode) settings.Settings {
	result := settings.Settings{Node: string(node.id), Zone: "zone-" + node.region, Region: node.region}
	for _, name := range clusterRegions {
		result.Zones = append(result.Zones, settings.Zone{Name: "zone-" + name, Region: name})
	}
	result.Ledger = settings.Ledger{Partitions: 2, Replicas: 3, WriteQuorum: 2, OwnersOnStores: true, MembersDecide: true}
	return result
}

func (c *regionsCluster) start(node *clusterNode) {
	c.t.Helper()
	var err error
	if node.transport, err = memory.NewTransport(c.network, node.address, prometheus.NewRegistry()); err != nil {
		c.t.Fatal(err)
	}
	node.store = nil
	incarnation := ""
	if node.disk != nil {
		node.store, err = store.Open("/data", store.Options{Files: node.disk, Logger: zerolog.Nop(), Free: func() (uint64, error) { return 1 << 40, nil }})
		if err != nil {
			c.t.Fatal(err)
		}
		incarnation = string(node.store.ID())
	}
	nodeSettings := c.settings(node)
	c.setMember(membership.Member{
		ID: node.id, Zone: nodeSettings.Zone, Region: nodeSettings.Region, PeerAddress: node.address, Store: node.disk != nil, StoreIncarnation: incarnation,
	})
	caller := recordingCaller{Caller: node.transport, from: node.address, cluster: c}
	directory := replica.NewDirectory()
	directory.Replace(c.infos)
	picker := balance.NewPicker(directory, nodeSettings.Topology(), func() float64 { return 0 })
	options := Options{Zone: nodeSettings.Zone, MaxBytes: 1 << 20, KeepResults: time.Hour, Report: replica.LoadReport{
		Path: "/load", Parse: func([]byte) (replica.Load, error) { return replica.Load{}, nil },
	}}
	service := NewService(
		options, c.routes, directory, &fakeFleet{}, picker, replica.NewClient(c.replicas, replicatest.Headers), node.transport, zerolog.Nop(),
	)
	timing := ledger.DefaultTiming()
	timing.Replace, timing.Formation, timing.OwnerSilence, timing.Request = 2*time.Second, time.Second, 800*time.Millisecond, time.Second
	node.manager = ledger.NewManager(ledger.Dependencies{
		Settings: nodeSettings, Timing: timing, Logger: zerolog.Nop(), Local: node.store, Caller: caller, Registry: node.transport,
		KeyValue: c.keyValue, Viewer: clusterView{c, node.id}, Factory: service.Factory(),
	})
	service.SetHomes(node.manager)
	node.client = NewClient(node.manager, node.manager, caller, node.transport, clusterView{c, node.id}, zerolog.Nop())
	node.transport.Start()
	node.manager.Start()
	var confined []ledger.Confined
	for _, batchHome := range c.routes.Table().ConfinedBatchHosts() {
		confined = append(confined, ledger.Confined{Key: batchHome.Host, Regions: batchHome.Regions})
	}
	node.manager.SetConfined(confined)
	node.running = true
}

func (c *regionsCluster) stop(node *clusterNode) {
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

func (c *regionsCluster) stopAll() {
	for _, node := range c.nodes {
		c.stop(node)
	}
	c.replicas.CloseAll()
	synctest.Wait()
}

func (c *regionsCluster) setMember(member membership.Member) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.view.Members = slices.DeleteFunc(slices.Clone(c.view.Members), func(other membership.Member) bool { return other.ID == member.ID })
	c.view.Members = append(c.view.Members, member)
}

// edge returns the edge of a region and makes it that of the current client.
func (c *regionsCluster) edge(name string) *Client {
	for _, node := range c.nodes {
		if node.region == name && node.disk == nil {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.connected = node.address
			return node.client
		}
	}
	return nil
}

// recordSecret records the region of the receiver if a message contains the secret.
func (c *regionsCluster) recordSecret(method transport.Method, to netip.AddrPort, message proto.Message) {
	encoded, err := proto.Marshal(message)
	if err != nil || !bytes.Contains(encoded, []byte(secret)) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if to == c.connected {
		return
	}
	if c.secretRegions[method] == nil {
		c.secretRegions[method] = map[string]bool{}
	}
	for _, node := range c.nodes {
		if node.address == to {
			c.secretRegions[method][node.region] = true
		}
	}
}

// checkSecretOnlyIn fails if the secret reached a region other than the given ones. It also fails if the secret was hardly seen at
// all, since the check would prove nothing then.
func (c *regionsCluster) checkSecretOnlyIn(allowed ...string) {
	c.t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.secretRegions[methodSubmit]) == 0 || len(c.secretRegions) < 2 {
		c.t.Fatalf("the secret was recorded only in %v", c.secretRegions)
	}
	for method, regions := range c.secretRegions {
		for name := range regions {
			if !slices.Contains(allowed, name) {
				c.t.Errorf("%s brought the secret to %s", method, name)
			}
		}
	}
	for _, request := range c.replicas.Requests() {
		if replicaID := request.Header.Get(replicatest.Headers.ExpectInstance); replicaID != "" &&
			!slices.Contains(allowed, strings.TrimPrefix(replicaID, "replica-")) {
			c.t.Errorf("an item came to %s", replicaID)
		}
	}
}

// submit retries until the job is accepted.
func (c *regionsCluster) submit(client *Client, job string, regions region.Set) {
	c.t.Helper()
	c.eventually("accepted "+job, func() error {
		submission := testSubmission(job, 2)
		for _, item := range submission.Items {
			item.Body = []byte(secret)
		}
		return client.Submit(c.t.Context(), submission, c.routes.Table().Routes[0], regions)
	})
}

// awaitResults waits until the client lists all results of the job.
func (c *regionsCluster) awaitResults(client *Client, job string) {
	c.t.Helper()
	c.eventually("results of "+job, func() error {
		response, err := client.Read(c.t.Context(), Caller{Host: testHost}, job, 0, time.Second)
		if err == nil && len(response.Results) < 2 {
			err = fmt.Errorf("%d results", len(response.Results))
		}
		return err
	})
}

func (c *regionsCluster) eventually(what string, try func() error) {
	c.t.Helper()
	var err error
	for range 600 {
		if err = try(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("not in time: %s: %v", what, err)
}

// recordingCaller records which nodes receive the secret in requests and responses.
type recordingCaller struct {
	transport.Caller
	from    netip.AddrPort
	cluster *regionsCluster
}

func (w recordingCaller) Call(ctx context.Context, to netip.AddrPort, method transport.Method, request, response proto.Message) error {
	w.cluster.recordSecret(method, to, request)
	err := w.Caller.Call(ctx, to, method, request, response)
	w.cluster.recordSecret(method, w.from, response)
	return err
}

type clusterView struct {
	cluster *regionsCluster
	self    membership.NodeID
}

func (v clusterView) View() *membership.View {
	v.cluster.mutex.Lock()
	defer v.cluster.mutex.Unlock()
	return &membership.View{Self: v.self, Members: v.cluster.view.Members}
}

func (v clusterView) Subscribe(func(*membership.View)) func() { return func() {} }

// TestConfinedJobFromSubmissionToResult checks that a job confined to north that is submitted in south is stored and run in north
// only and can be read in west. A lost disk, a lost owner and a cut between the edge and its owner do not change that.
func TestConfinedJobFromSubmissionToResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		north := region.NewSet("north")
		c := newRegionsCluster(t, north)
		defer c.stopAll()
		c.submit(c.edge("south"), "first", north)
		c.awaitResults(c.edge("south"), "first")
		c.awaitResults(c.edge("west"), "first")
		for _, lost := range c.nodes[:2] {
			c.stop(lost)
			lost.disk = vfs.NewMem()
			c.start(lost)
			time.Sleep(10 * time.Second)
			job := "after-" + string(lost.id)
			c.submit(c.edge("south"), job, north)
			c.awaitResults(c.edge("west"), job)
		}
		c.cutFromStores(c.edge("south"))
		c.submit(c.edge("south"), "relayed", north)
		c.awaitResults(c.edge("west"), "relayed")
		c.awaitResults(c.edge("west"), "first")
		c.checkSecretOnlyIn("north")
	})
}

// cutFromStores cuts an edge off from all nodes with a store.
func (c *regionsCluster) cutFromStores(client *Client) {
	c.t.Helper()
	var edge netip.AddrPort
	stores := map[netip.AddrPort]bool{}
	for _, node := range c.nodes {
		if node.client == client {
			edge = node.address
		}
		stores[node.address] = node.disk != nil
	}
	c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: time.Millisecond, Cut: (from == edge && stores[to]) || (to == edge && stores[from])}
	})
}

// TestJobThatIsNotConfinedGoesAnywhere checks that TestConfinedJobFromSubmissionToResult would see the secret elsewhere if there
// were no homes.
func TestJobThatIsNotConfinedGoesAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionsCluster(t, region.Set{})
		defer c.stopAll()
		c.submit(c.edge("south"), "first", region.Set{})
		c.awaitResults(c.edge("west"), "first")
		time.Sleep(10 * time.Second)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		reached := map[string]bool{}
		for _, regions := range c.secretRegions {
			for name := range regions {
				reached[name] = true
			}
		}
		if len(reached) != len(clusterRegions) {
			t.Errorf("the secret reached only %v", reached)
		}
	})
}

// TestConfinedJobIsRejectedWhileItsHomesAreLost checks that no other region accepts the job, and that it is accepted once its homes
// are back.
func TestConfinedJobIsRejectedWhileItsHomesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		north := region.NewSet("north")
		c := newRegionsCluster(t, north)
		defer c.stopAll()
		c.submit(c.edge("south"), "before", north)
		for _, node := range c.nodes {
			if node.region == "north" {
				c.stop(node)
			}
		}
		time.Sleep(10 * time.Second)
		if err := c.edge("south").Submit(t.Context(), testSubmission("meanwhile", 1), c.routes.Table().Routes[0], north); err == nil {
			t.Error("accepted without its homes")
		}
		if response, err := c.edge("south").Read(t.Context(), Caller{Host: testHost}, "before", 0, 0); err == nil {
			t.Errorf("read: %v", response)
		}
		for _, node := range c.nodes {
			if node.region == "north" {
				c.start(node)
			}
		}
		c.submit(c.edge("south"), "after", north)
		c.awaitResults(c.edge("west"), "before")
		c.awaitResults(c.edge("west"), "after")
		c.checkSecretOnlyIn("north")
	})
}
