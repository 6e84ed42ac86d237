package ledgerbench

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/platform/platformtest"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// ownerTimeout is the timeout for a partition to get an owner; pollInterval is the interval of the checks.
const (
	ownerTimeout = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// view is the membership view of all nodes. It is safe for concurrent use.
type view struct {
	mutex   sync.Mutex
	members []membership.Member
}

func (v *view) View() *membership.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return &membership.View{Members: append([]membership.Member(nil), v.members...)}
}

// Subscribe does nothing, since the ledger also polls the view.
func (v *view) Subscribe(func(*membership.View)) func() { return func() {} }

func (v *view) add(member membership.Member) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.members = append(v.members, member)
}

func (v *view) markDead(id membership.NodeID) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for i := range v.members {
		if v.members[i].ID == id {
			v.members[i].State = membership.Dead
		}
	}
}

// machine is a state machine that only counts the records it applies.
type machine struct {
	node    *node
	owned   ledger.Owned
	applied int
}

func (m *machine) Restore([]byte) error { return nil }

func (m *machine) Apply(ledger.Position, ledger.Record) error {
	m.applied++
	return nil
}

func (m *machine) Serve(owned ledger.Owned) {
	m.owned = owned
	m.node.set(owned.Partition(), m)
}

func (m *machine) Snapshot() (ledger.Position, ledger.Position, []byte, error) {
	return 0, 0, nil, errors.New("ledgerbench: no snapshots")
}

func (m *machine) Stop() {
	if m.owned != nil {
		m.node.set(m.owned.Partition(), nil)
	}
}

// node has a store, a transport and a manager that can own partitions.
type node struct {
	id        membership.NodeID
	store     *store.Store
	transport *transport.TCP
	manager   *ledger.Manager

	mutex    sync.Mutex
	machines map[ledger.PartitionID]*machine
}

func (n *node) set(partition ledger.PartitionID, served *machine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.machines[partition] = served
}

func (n *node) machineOf(partition ledger.PartitionID) *machine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.machines[partition]
}

func (n *node) stop() error {
	n.manager.Stop()
	n.transport.Stop()
	return n.store.Close()
}

// cluster is a set of nodes in this process.
type cluster struct {
	view       *view
	partitions int
	nodes      []*node
}

// openCluster starts as many nodes as replicas, with disks below folder, and waits until all partitions have owners.
func openCluster(ctx context.Context, folder string, replicas, writeQuorum, partitions int) (*cluster, error) {
	c := &cluster{view: &view{}, partitions: partitions}
	values := platformtest.NewKeyValue()
	for index := range replicas {
		if err := c.add(folder, index, values, settings.Ledger{
			Partitions: partitions, Replicas: replicas, WriteQuorum: writeQuorum,
		}); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	for _, node := range c.nodes {
		node.manager.Start()
	}
	for partition := range partitions {
		if _, err := c.owner(ctx, ledger.PartitionID(partition)); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, nil
}

func (c *cluster) add(folder string, index int, values platform.KeyValue, numbers settings.Ledger) error {
	n := &node{id: membership.NodeID(fmt.Sprint("node-", index)), machines: map[ledger.PartitionID]*machine{}}
	disk := filepath.Join(folder, string(n.id))
	if err := os.MkdirAll(disk, 0o750); err != nil {
		return err
	}
	var err error
	if n.store, err = store.Open(disk, store.Options{Logger: zerolog.Nop()}); err != nil {
		return err
	}
	listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	if n.transport, err = transport.NewTCP(string(n.id), listen, prometheus.NewRegistry(), zerolog.Nop()); err != nil {
		return errors.Join(err, n.store.Close())
	}
	timing := ledger.DefaultTiming()
	timing.SnapshotRecords, timing.SnapshotBytes = 1<<40, 1<<40
	n.manager = ledger.NewManager(ledger.Dependencies{
		Settings: settings.Settings{Node: string(n.id), Ledger: numbers}, Timing: timing, Logger: zerolog.Nop(), Local: n.store,
		Caller: n.transport, Registry: n.transport, KeyValue: values, Viewer: c.view,
		Factory: func(ledger.PartitionID) ledger.StateMachine { return &machine{node: n} },
	})
	if err := n.transport.Start(); err != nil {
		return errors.Join(err, n.store.Close())
	}
	c.nodes = append(c.nodes, n)
	c.view.add(membership.Member{
		ID: n.id, Zone: string(n.id), PeerAddress: n.transport.Address(), State: membership.Alive,
		Store: true, StoreIncarnation: string(n.store.ID()),
	})
	return nil
}

// owner waits until a node owns the partition and returns its state machine.
func (c *cluster) owner(ctx context.Context, partition ledger.PartitionID) (*machine, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, node := range c.nodes {
			if served := node.machineOf(partition); served != nil {
				return served, nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("partition %d has no owner: %w", partition, ctx.Err())
		}
	}
}

// kill marks a node as dead in the view and stops it.
func (c *cluster) kill(victim *node) error {
	for index, node := range c.nodes {
		if node == victim {
			c.nodes = append(c.nodes[:index:index], c.nodes[index+1:]...)
		}
	}
	c.view.markDead(victim.id)
	return victim.stop()
}

func (c *cluster) fsyncs() int64 {
	var fsyncs int64
	for _, node := range c.nodes {
		fsyncs += node.store.Fsyncs()
	}
	return fsyncs
}

func (c *cluster) bytesWritten() int64 {
	var written int64
	for _, node := range c.nodes {
		written += node.store.BytesWritten()
	}
	return written
}

func (c *cluster) close() error {
	var err error
	for _, node := range c.nodes {
		err = errors.Join(err, node.stop())
	}
	return err
}
