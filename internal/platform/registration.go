package platform

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// nodePrefix is where nodes register themselves.
	nodePrefix = "/sloelift/nodes/"
	// registerLongestWait bounds the wait between tries to register.
	registerLongestWait = time.Second
	registerTimeout     = 3 * time.Second
)

// registeredNode is the value of a node's key.
type registeredNode struct {
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// RegisteredMachines is a MachineList of the nodes that have registered themselves in the key-value service. It is
// safe for concurrent use.
type RegisteredMachines struct {
	store KeyValue
	self  Machine

	// registered is closed once this node is in the list.
	registered chan struct{}
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// NewRegisteredMachines returns a list that will hold self.
func NewRegisteredMachines(store KeyValue, self Machine) *RegisteredMachines {
	return &RegisteredMachines{store: store, self: self, registered: make(chan struct{})}
}

// Start registers this node in the background, until that is done.
func (r *RegisteredMachines) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.running.Go(func() {
		waits := NewBackoffUpTo(registerLongestWait)
		for r.register(ctx) != nil {
			if waits.Wait(ctx) != nil {
				return
			}
		}
		close(r.registered)
	})
}

// Stop ends a registration under way; the entry stays, as the list lags anyway.
func (r *RegisteredMachines) Stop() {
	r.cancel()
	r.running.Wait()
}

// register writes this node's entry; a write of the same value twice does no harm.
func (r *RegisteredMachines) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	value, err := json.Marshal(registeredNode{Region: r.self.Region, Zone: r.self.Zone, Address: r.self.Address})
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, Transaction{Changes: []Change{{Key: nodePrefix + r.self.ID, Value: value}}})
	return err
}

// List returns the nodes that are registered. It waits until this node is, so that of nodes that start together the later
// ones find the earlier ones.
func (r *RegisteredMachines) List(ctx context.Context) (MachineListing, error) {
	select {
	case <-r.registered:
	case <-ctx.Done():
		return MachineListing{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := r.store.List(ctx, nodePrefix)
	if err != nil {
		return MachineListing{}, err
	}
	machines := MachineListing{Version: listing.Revision}
	for _, entry := range listing.Entries {
		var node registeredNode
		if err := json.Unmarshal(entry.Value, &node); err != nil {
			continue
		}
		machines.Machines = append(machines.Machines, Machine{
			ID: strings.TrimPrefix(entry.Key, nodePrefix), Role: RoleNode, Region: node.Region, Zone: node.Zone, State: MachineLive, Address: node.Address,
		})
	}
	return machines, nil
}
