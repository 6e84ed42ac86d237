package origin

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

const lifetime = 10 * time.Second

var originOne = replica.Origin{Service: "s", Version: "v1"}

// node is one node of a cluster under test.
type node struct {
	member    membership.Member
	view      *membershiptest.Viewer
	transport *memory.Transport
	// service is nil while the node is down, and on a node of an older build.
	service *Service
	// folder is the data folder of a storage node.
	folder string
}

// cluster is three storage nodes, "store-0" to "store-2", and four edges, "edge-0" to "edge-3", in three zones.
type cluster struct {
	t       *testing.T
	network *memory.Network
	nodes   map[string]*node
	mutex   sync.Mutex
	// cut holds the nodes that nobody reaches.
	cut map[netip.AddrPort]bool
}

// play runs test with a cluster in virtual time; the named nodes are of a build that does not know origins.
func play(t *testing.T, test func(c *cluster), older ...string) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: memory.NewNetwork(1), nodes: map[string]*node{}, cut: map[netip.AddrPort]bool{}}
		c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return memory.Conditions{Delay: time.Millisecond, Cut: c.cut[from] || c.cut[to]}
		})
		for index := range 7 {
			name, store := fmt.Sprintf("store-%d", index), index < 3
			if !store {
				name = fmt.Sprintf("edge-%d", index-3)
			}
			c.nodes[name] = &node{view: membershiptest.NewViewer(nil), member: membership.Member{
				ID: membership.NodeID(name), Zone: fmt.Sprintf("zone-%d", index%3), Store: store,
				PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+index)),
			}}
		}
		isOlder := map[string]bool{}
		for _, name := range older {
			isOlder[name] = true
		}
		for _, created := range c.nodes {
			if created.member.Store {
				created.folder = t.TempDir()
			}
		}
		for name := range c.nodes {
			c.start(name, isOlder[name])
		}
		defer c.stop()
		test(c)
	})
}

func (c *cluster) start(name string, older bool) {
	started := c.nodes[name]
	started.view.Set(c.viewOf(name))
	var err error
	started.transport, err = memory.NewTransport(c.network, started.member.PeerAddress, prometheus.NewRegistry())
	if err != nil {
		c.t.Fatal(err)
	}
	if !older {
		started.service = NewService(Options{
			Viewer: started.view, Caller: started.transport, Registrar: started.transport, DataFolder: started.folder, Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
		})
		started.service.Start()
	}
	started.transport.Start()
}

// viewOf returns a node's view with all nodes alive.
func (c *cluster) viewOf(name string) *membership.View {
	view := &membership.View{Self: membership.NodeID(name)}
	for _, other := range c.nodes {
		view.Members = append(view.Members, other.member)
	}
	return view
}

// kill ends a node, and all that it knows, without a planned stop.
func (c *cluster) kill(name string) {
	killed := c.nodes[name]
	killed.transport.Stop()
	if killed.service != nil {
		killed.service.Stop()
		killed.service = nil
	}
}

func (c *cluster) setCut(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[c.nodes[name].member.PeerAddress] = true
}

func (c *cluster) stop() {
	for name := range c.nodes {
		c.kill(name)
	}
	time.Sleep(time.Second)
}

// record records origins of several requests at edge-0 and waits until they are placed.
func (c *cluster) record(began replica.Origin) {
	for number := range requests {
		c.nodes["edge-0"].service.Record(requestID(number), began, lifetime)
	}
	time.Sleep(placedWithin)
}

const (
	// requests is the number of requests of a test, whose records are at different nodes.
	requests = 20
	// placedWithin is the time within which records are placed if all nodes answer.
	placedWithin = collectInterval + 5*time.Millisecond
)

func requestID(number int) string { return fmt.Sprintf("request-%d", number) }

// find looks for all requests at a node and checks that the result is the same for each.
func (c *cluster) find(name string, want replica.Origin, wantErr error) {
	c.t.Helper()
	for number := range requests {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		found, err := c.nodes[name].service.Find(ctx, requestID(number))
		cancel()
		if found != want || !errors.Is(err, wantErr) {
			c.t.Errorf("%s at %s: %+v, %v; want %+v, %v", requestID(number), name, found, err, want, wantErr)
		}
	}
}
