package job

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform/platformtest"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// ledgerCluster runs nodes with the real ledger over an in-memory network. The first
// ledgerStores nodes have a disk.
type ledgerCluster struct {
	t        *testing.T
	network  *memory.Network
	engine   *fakeEngine
	credits  *fakeCredits
	mutex    sync.Mutex
	keyValue *platformtest.KeyValue
	members  []membership.Member
	nodes    []*ledgerNode
}

type ledgerNode struct {
	cluster    *ledgerCluster
	id         membership.NodeID
	transport  *memory.Transport
	disk       *store.Store
	manager    *ledger.Manager
	dispatcher *dispatcher
	partitions *registry
	service    *service
	killed     bool
}

const (
	ledgerStores = 4
	ledgerNodes  = 7
)

func newLedgerCluster(t *testing.T) *ledgerCluster {
	cluster := &ledgerCluster{
		t: t, network: memory.NewNetwork(1), engine: newFakeEngine(), credits: &fakeCredits{replicas: 3, limit: 16},
		keyValue: platformtest.NewKeyValue(),
	}
	for number := range ledgerNodes {
		cluster.nodes = append(cluster.nodes, cluster.start(number))
	}
	return cluster
}

func (c *ledgerCluster) start(number int) *ledgerNode {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+number))
	node := &ledgerNode{cluster: c, id: membership.NodeID(fmt.Sprintf("node-%d", number))}
	var err error
	if node.transport, err = memory.NewTransport(c.network, address, prometheus.NewRegistry()); err != nil {
		c.t.Fatal(err)
	}
	member := membership.Member{
		ID: node.id, Zone: fmt.Sprintf("zone-%d", number), PeerAddress: address, State: membership.Alive,
	}
	if number < ledgerStores {
		node.disk, err = store.Open("/data", store.Options{
			Files: vfs.NewMem(), Logger: zerolog.Nop(),
			Free: func() (uint64, error) { return 1 << 40, nil },
		})
		if err != nil {
			c.t.Fatal(err)
		}
		member.Store, member.StoreIncarnation = true, string(node.disk.ID())
	}
	c.mutex.Lock()
	c.members = append(c.members, member)
	c.mutex.Unlock()
	values := settings.Settings{
		Node:   string(node.id),
		Ledger: settings.Ledger{Partitions: testPartitions, Replicas: ledgerStores, WriteQuorum: 3},
	}
	values.Limits.BatchConcurrency = 32
	node.dispatcher = newDispatcher(dispatcherParams{
		Settings: values, Credits: c.credits, Engines: c.engine, Reporter: fakeReporter{}, Models: fakeConfig{},
		Metrics: newMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
	})
	node.partitions = newRegistry(node.dispatcher, zerolog.Nop())
	registerMethods(node.transport, node.partitions)
	node.manager = ledger.NewManager(ledger.Dependencies{
		Settings: values, Timing: ledger.DefaultTiming(), Logger: zerolog.Nop(), Local: node.disk, Caller: node.transport,
		Registry: node.transport, KeyValue: c.keyValue, Viewer: node, Factory: node.partitions.factory,
	})
	node.service = &service{newForwarder(node.partitions, node.manager, node.transport), fakeConfig{}}
	node.transport.Start()
	node.dispatcher.start()
	node.manager.Start()
	return node
}

// stop stops a node without changing its state in the membership view.
func (n *ledgerNode) stop() {
	if n.killed {
		return
	}
	n.killed = true
	n.transport.Stop()
	n.manager.Stop()
	n.partitions.stop()
	n.dispatcher.stop()
	if n.disk != nil {
		if err := n.disk.Close(); err != nil {
			n.cluster.t.Error(err)
		}
	}
}

// kill stops a node and marks it as dead in the membership view.
func (n *ledgerNode) kill() {
	n.stop()
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	for index := range n.cluster.members {
		if n.cluster.members[index].ID == n.id {
			n.cluster.members[index].State = membership.Dead
		}
	}
}

func (n *ledgerNode) View() *membership.View {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return &membership.View{Self: n.id, Members: append([]membership.Member(nil), n.cluster.members...)}
}

func (n *ledgerNode) Subscribe(func(*membership.View)) func() { return func() {} }

// TestOwnersKilledMidJob kills owners while items are in flight, at most one of them with a
// disk. Every item of both jobs must get one result, and an item that is not repeatable must
// run at most once.
func TestOwnersKilledMidJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 120
		cluster := newLedgerCluster(t)
		defer func() {
			for _, node := range cluster.nodes {
				node.stop()
			}
		}()
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error {
			if !pause.Sleep(ctx, 200*time.Millisecond) {
				return engine.KindLost.New("cut")
			}
			return nil
		}
		var ids []string
		for _, notRepeatable := range []bool{false, true} {
			input := submission(fmt.Sprintf("killed-%t", notRepeatable), items)
			input.NotRepeatable = notRepeatable
			status, err := cluster.liveNode().service.Submit(t.Context(), input)
			if err != nil {
				t.Fatalf("submit: %v", err)
			}
			ids = append(ids, status.ID)
		}
		killed, killedStores := 0, 0
		for killed < 2 {
			time.Sleep(2 * time.Second)
			owner := cluster.ownerOf(ids[killed])
			if owner == nil || owner.disk != nil && killedStores > 0 {
				break
			}
			if owner.disk != nil {
				killedStores++
			}
			owner.kill()
			killed++
		}
		for number, id := range ids {
			ended := waitForEndAt(t, cluster.liveNode().service, id)
			all := readResultsAt(t, cluster.liveNode().service, id, 0)
			if len(all) != items || ended.Completed+ended.Failed != items || (number == 0 && ended.Failed > 0) {
				t.Fatalf("%s ended as %+v with %d results", id, ended, len(all))
			}
			for index, result := range all {
				if result.Index != index || (result.Status == statusCompleted && !strings.Contains(string(result.Body), completeAnswer+`"`)) {
					t.Fatalf("result %d is %+v", index, result)
				}
			}
		}
		cluster.engine.mutex.Lock()
		defer cluster.engine.mutex.Unlock()
		for item, count := range cluster.engine.started {
			if strings.HasPrefix(item, ids[1]) && count > 1 {
				t.Errorf("%s ran %d times", item, count)
			}
		}
		t.Logf("%d owners killed, %d with a disk, %d runs", killed, killedStores, len(cluster.engine.started))
		if killed == 0 {
			t.Error("no owner was killed")
		}
	})
}

// ownerOf returns the node that serves the job's partition.
func (c *ledgerCluster) ownerOf(id string) *ledgerNode {
	for _, node := range c.nodes {
		if _, err := node.partitions.find(uint32(partitionOf(c.t, id))); err == nil && !node.killed {
			return node
		}
	}
	return nil
}

// liveNode returns a node that was not killed.
func (c *ledgerCluster) liveNode() *ledgerNode {
	for _, node := range c.nodes {
		if !node.killed {
			return node
		}
	}
	return nil
}
