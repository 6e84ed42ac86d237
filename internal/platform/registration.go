package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
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

	// registered is closed once this node is in the list. found is the listing that showed it, where an earlier run of the process had
	// registered it; it is set before registered is closed and returned by the first List.
	registered chan struct{}
	found      atomic.Pointer[Listing]
	// onDemand says that the node registers only when the list is read, and looks for its own entry alone before.
	onDemand bool
	// starting begins the registration once.
	starting sync.Once
	// listed says that the list has been read since this process registered.
	listed  atomic.Bool
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewRegisteredMachines returns a list that will hold self.
func NewRegisteredMachines(store KeyValue, self Machine) *RegisteredMachines {
	return &RegisteredMachines{store: store, self: self, registered: make(chan struct{})}
}

// RegisterOnDemand has this node register only once it reads the list: while it finds others without it, they find it as well, and a call for each
// of many nodes is saved. It is called before Start.
func (r *RegisteredMachines) RegisterOnDemand() { r.onDemand = true }

// Start registers this node in the background, unless it does so on demand.
func (r *RegisteredMachines) Start() {
	r.context, r.cancel = context.WithCancel(context.Background())
	if !r.onDemand {
		r.begin()
	}
}

// begin registers this node in the background, until that is done. A node that an earlier run has registered finds that out by a
// stale read, which costs a tenth of other calls.
func (r *RegisteredMachines) begin() {
	r.starting.Do(func() { r.running.Go(r.registerUntilDone) })
}

func (r *RegisteredMachines) registerUntilDone() {
	if r.isRegistered(r.context) {
		close(r.registered)
		return
	}
	waits := NewBackoffUpTo(registerLongestWait)
	for r.register(r.context) != nil {
		if waits.Wait(r.context) != nil {
			return
		}
	}
	close(r.registered)
}

// Stop ends a registration under way; the entry stays, as the list lags anyway.
func (r *RegisteredMachines) Stop() {
	r.cancel()
	r.running.Wait()
}

// isRegistered says that the list has this node's entry as it is now.
func (r *RegisteredMachines) isRegistered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	own := r.entry()
	prefix := nodePrefix
	if r.onDemand {
		prefix = own.Key
	}
	listing, err := listStale(ctx, r.store, prefix)
	if err != nil {
		return false
	}
	for _, entry := range listing.Entries {
		if entry.Key == own.Key && bytes.Equal(entry.Value, own.Value) {
			if !r.onDemand {
				r.found.Store(&listing)
			}
			return true
		}
	}
	return false
}

// entry is this node's entry in the list.
func (r *RegisteredMachines) entry() Change {
	value, err := json.Marshal(registeredNode{Region: r.self.Region, Zone: r.self.Zone, Address: r.self.Address})
	if err != nil {
		panic("encode registration: " + err.Error())
	}
	return Change{Key: nodePrefix + r.self.ID, Value: value}
}

// register writes this node's entry; a write of the same value twice does no harm.
func (r *RegisteredMachines) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.store.Commit(ctx, Transaction{Changes: []Change{r.entry()}})
	return err
}

// listStale reads a prefix that may be seconds old, where the service offers that more cheaply.
func listStale(ctx context.Context, store KeyValue, prefix string) (Listing, error) {
	if offers, is := store.(StaleLister); is {
		return offers.ListStale(ctx, prefix)
	}
	return store.List(ctx, prefix)
}

// List returns the nodes that are registered. It waits until this node is, so that of nodes that start together the later
// ones find the earlier ones.
func (r *RegisteredMachines) List(ctx context.Context) (MachineListing, error) {
	r.begin()
	select {
	case <-r.registered:
	case <-ctx.Done():
		return MachineListing{}, ctx.Err()
	}
	listing, err := r.read(ctx)
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

// read returns the listing that showed this node's entry, at first; else the first listing after the registration is exact, since nodes
// that start together find each other by it, and later ones may be seconds old.
func (r *RegisteredMachines) read(ctx context.Context) (Listing, error) {
	if found := r.found.Swap(nil); found != nil {
		r.listed.Store(true)
		return *found, nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if r.listed.Load() {
		return listStale(ctx, r.store, nodePrefix)
	}
	listing, err := r.store.List(ctx, nodePrefix)
	if err == nil {
		r.listed.Store(true)
	}
	return listing, err
}
