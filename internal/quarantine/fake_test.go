package quarantine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/platform/platformtest"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// fakeMachines is the network.Network on which the replicas' machines are reached.
type fakeMachines struct {
	mutex sync.Mutex
	// ended holds the addresses that refuse connections, cut those that do not answer. dials counts the attempts to
	// connect.
	ended map[netip.AddrPort]bool
	cut   map[netip.AddrPort]bool
	dials int
}

// Listen fails: the tests serve nothing.
func (f *fakeMachines) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("listening is not supported")
}

// Dial connects to a replica unless it has ended or its link is cut.
func (f *fakeMachines) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	f.mutex.Lock()
	f.dials++
	ended, cut := f.ended[address], f.cut[address]
	f.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if ended {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// end makes the address refuse connections.
func (f *fakeMachines) end(address netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ended[address] = true
}

// restart makes the address accept connections again.
func (f *fakeMachines) restart(address netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.ended, address)
}

// recordStore is a key-value service that counts its listings and can be set down.
type recordStore struct {
	*platformtest.KeyValue
	mutex  sync.Mutex
	down   bool
	listed int
}

func (r *recordStore) setDown(down bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = down
}

func (r *recordStore) call() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return errors.New("key-value service is down")
	}
	return nil
}

// List implements platform.KeyValue.
func (r *recordStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := r.call(); err != nil {
		return platform.Listing{}, err
	}
	r.mutex.Lock()
	r.listed++
	r.mutex.Unlock()
	return r.KeyValue.List(ctx, prefix)
}

// GrantLease implements platform.KeyValue.
func (r *recordStore) GrantLease(ctx context.Context, timeToLive time.Duration) (platform.LeaseID, error) {
	if err := r.call(); err != nil {
		return 0, err
	}
	return r.KeyValue.GrantLease(ctx, timeToLive)
}

// node is one node of a cluster under test.
type node struct {
	id        membership.NodeID
	address   netip.AddrPort
	view      *membershiptest.Viewer
	transport *memory.Transport
	directory *replica.Directory
	*Service
	up bool
	// store reports that the node has a store, so that it runs batch items.
	store bool
}

// cluster is a set of nodes on one network that use the same replicas.
type cluster struct {
	t        *testing.T
	network  *memory.Network
	store    *recordStore
	machines *fakeMachines
	nodes    []*node

	mutex sync.Mutex
	// sides holds the side of a partition on which each node is; most are on side 0.
	sides map[netip.AddrPort]int
	// infos are the current replicas; created counts all replicas that ever existed.
	infos   []replica.Info
	created int
	// crashed counts the ended replicas by the message that ended them.
	crashed map[Key]int
}

func newCluster(t *testing.T, nodes, replicas int) *cluster {
	created := &cluster{
		t:        t,
		network:  memory.NewNetwork(1),
		store:    &recordStore{KeyValue: platformtest.NewKeyValue()},
		sides:    map[netip.AddrPort]int{},
		crashed:  map[Key]int{},
		machines: &fakeMachines{ended: map[netip.AddrPort]bool{}, cut: map[netip.AddrPort]bool{}},
	}
	created.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		created.mutex.Lock()
		defer created.mutex.Unlock()
		return memory.Conditions{Delay: time.Millisecond, Cut: created.sides[from] != created.sides[to]}
	})
	for range replicas {
		created.infos = append(created.infos, created.newReplica())
	}
	for index := range nodes {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+index))
		created.nodes = append(created.nodes, &node{
			id:      membership.NodeID(fmt.Sprintf("node-%02d", index)),
			address: address,
			view:    membershiptest.NewViewer(nil),
		})
	}
	for _, member := range created.nodes {
		created.start(member)
	}
	created.agree()
	return created
}

// newReplica returns a new incarnation of a replica with an address of its own.
func (c *cluster) newReplica() replica.Info {
	c.created++
	return replica.Info{
		ID:      fmt.Sprintf("replica-%d", c.created),
		Service: "s",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(c.created)),
		Slots:   8,
	}
}

// start starts a node's process without any state of its previous one.
func (c *cluster) start(started *node) {
	var err error
	started.transport, err = memory.NewTransport(c.network, started.address, prometheus.NewRegistry())
	if err != nil {
		c.t.Fatal(err)
	}
	started.directory = replica.NewDirectory()
	c.mutex.Lock()
	started.directory.Replace(c.infos)
	c.mutex.Unlock()
	started.view.Set(&membership.View{Self: started.id, Members: []membership.Member{c.member(started, membership.Alive)}})
	started.Service = NewService(Options{
		Network: c.machines, Directory: started.directory, Viewer: started.view, Store: c.store, Caller: started.transport, Registrar: started.transport,
		Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	started.transport.Start()
	started.up = true
	started.Start()
}

func (c *cluster) kill(killed *node) {
	killed.up = false
	killed.transport.Stop()
	killed.Stop()
}

func (c *cluster) stop() {
	for _, member := range c.nodes {
		if member.up {
			c.kill(member)
		}
	}
}

func (c *cluster) member(subject *node, state membership.State) membership.Member {
	return membership.Member{ID: subject.id, PeerAddress: subject.address, State: state, Store: subject.store}
}

// agree updates the views of all nodes to the current state: a node that is down or on another side of a partition is
// dead to the others.
func (c *cluster) agree() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, viewer := range c.nodes {
		view := &membership.View{Self: viewer.id}
		for _, other := range c.nodes {
			state := membership.Alive
			if !other.up || c.sides[other.address] != c.sides[viewer.address] {
				state = membership.Dead
			}
			view.Members = append(view.Members, c.member(other, state))
		}
		viewer.view.Set(view)
	}
}

// cut separates the given nodes from the others.
func (c *cluster) cut(together ...*node) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.sides)
	for _, member := range together {
		c.sides[member.address] = 1
	}
}

// crash ends a replica's process and replaces it by a new one.
func (c *cluster) crash(handle *replica.Handle, by Key) {
	c.machines.end(handle.Info().Address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashed[by]++
	for index := range c.infos {
		if c.infos[index].ID == handle.Info().ID {
			c.infos[index] = c.newReplica()
		}
	}
	for _, member := range c.nodes {
		if member.up {
			member.directory.Replace(c.infos)
		}
	}
}

// crashes returns the number of replicas that the message ended.
func (c *cluster) crashes(key Key) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.crashed[key]
}

// handle returns a node's handle of the replica with the given number.
func (c *cluster) handle(member *node, number int) *replica.Handle {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return member.directory.View().Find(c.infos[number].ID)
}

// placeRun returns the replica at which a message runs: the one with the given number or, for a suspect, a preferred
// one without another suspect.
func (c *cluster) placeRun(member *node, permit Permit, key Key, number int) *replica.Handle {
	if permit.Verdict() != Apart {
		return c.handle(member, number)
	}
	all := member.directory.View().ForService("s")
	avoided := slices.Concat(permit.Occupied(), NotPreferred(key, all), RecentlyFailed(all, time.Now()))
	for _, handle := range all {
		if !slices.Contains(avoided, handle) {
			return handle
		}
	}
	return c.handle(member, number)
}

// runCrashing runs a message that ends the replica after 80 ms unless it is cut off before. It returns false if the
// message was not admitted.
func (c *cluster) runCrashing(member *node, number int, key Key) bool {
	permit := member.Admit(c.t.Context(), key)
	defer permit.Release()
	if permit.Verdict() == Rejected {
		return false
	}
	handle := c.placeRun(member, permit, key, number)
	cut := make(chan struct{})
	run := permit.Begin(handle, func() { close(cut) })
	select {
	case <-time.After(80 * time.Millisecond):
		if !c.machines.endedAt(handle) {
			c.crash(handle, key)
		}
		run.End(c.t.Context(), Lost)
	case <-cut:
		run.End(c.t.Context(), Aborted)
	}
	return true
}

func (f *fakeMachines) endedAt(handle *replica.Handle) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ended[handle.Info().Address]
}

// recordedEnds returns ends of replicas as an owner recorded them, without the number of events.
func recordedEnds(ended ...replica.Key) []RecordedEnd {
	var ends []RecordedEnd
	for _, key := range ended {
		ends = append(ends, RecordedEnd{Replica: key})
	}
	return ends
}
