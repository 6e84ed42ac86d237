package deployment

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/sloelift/sloelift/internal/platform"
	labplatform "github.com/sloelift/sloelift/lab/platform"
)

// NodeByID returns the node with the given id.
func (d *Deployment) NodeByID(id string) (*Node, error) {
	for _, node := range d.Nodes {
		if node.ID == id {
			return node, nil
		}
	}
	return nil, fmt.Errorf("no node %q", id)
}

// Stores returns the nodes with a data folder.
func (d *Deployment) Stores() []*Node {
	var stores []*Node
	for _, node := range d.Nodes {
		if node.Settings.DataFolder != "" {
			stores = append(stores, node)
		}
	}
	return stores
}

// KillNode ends a node without notice.
func (d *Deployment) KillNode(node *Node) { node.kill() }

// StartNode starts a node that was killed or stopped and waits until it serves.
func (d *Deployment) StartNode(ctx context.Context, node *Node) error {
	if err := node.start(ctx); err != nil {
		return err
	}
	return d.awaitNode(ctx, node)
}

// StopNode is the planned stop of a node: new requests go to other nodes and streams run to their end.
func (d *Deployment) StopNode(ctx context.Context, node *Node) error { return node.stop(ctx) }

// LoseDisk kills stores, empties their data folders and starts them again.
func (d *Deployment) LoseDisk(ctx context.Context, nodes ...*Node) error {
	for _, node := range nodes {
		node.kill()
	}
	for _, node := range nodes {
		if err := node.loseDisk(); err != nil {
			return err
		}
	}
	for _, node := range nodes {
		if err := d.StartNode(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

// PauseNode suspends all traffic from and to a node; callers use other nodes.
func (d *Deployment) PauseNode(node *Node) {
	node.setServing(false)
	node.pause(true)
}

// ResumeNode ends a pause.
func (d *Deployment) ResumeNode(node *Node) {
	node.pause(false)
	node.setServing(true)
}

// CutZone isolates a zone from all others and from the platform.
func (d *Deployment) CutZone(zone string) {
	for _, node := range d.Nodes {
		inside := node.Zone == zone
		node.setReachable(func(address netip.AddrPort) bool {
			other, known := d.zoneOf[address]
			return !known || (other == zone) == inside
		})
	}
	d.Platform.Faults().Set(labplatform.Fault{Zone: zone, Outage: labplatform.OutageDrops})
}

// HealZone ends the isolation of a zone.
func (d *Deployment) HealZone(zone string) {
	d.Platform.Faults().Clear(zone, labplatform.AnyService)
	for _, node := range d.Nodes {
		node.setReachable(nil)
	}
}

// LeaveReplica starts the planned stop of a replica: the machine list shows it as
// leaving, after the list's lag, and the engine refuses new runs.
func (d *Deployment) LeaveReplica(replica *Replica) {
	d.Platform.Machines().SetState(replica.ID, platform.MachineLeaving)
	replica.Engine.Leave()
}

// AnnounceLeaving marks a replica as leaving in the machine list only. The engine still
// accepts runs, so that dispatches after the announcement appear in its records.
func (d *Deployment) AnnounceLeaving(replica *Replica) {
	d.Platform.Machines().SetState(replica.ID, platform.MachineLeaving)
}
