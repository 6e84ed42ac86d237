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
	// nodePrefix is the key prefix under which nodes register themselves.
	nodePrefix = "/sloelift/nodes/"
	// maxRegisterBackoff bounds the delay between attempts to register, registerTimeout one attempt.
	maxRegisterBackoff = time.Second
	registerTimeout    = 3 * time.Second
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
	// initialListing is the listing that contained this node's entry if an earlier run of the process had registered it. It is set
	// before registered is closed, and returned by the first List.
	initialListing atomic.Pointer[Listing]
	// onDemand makes the node register only when the list is read. To find out whether it is registered, it reads only its own entry.
	onDemand bool
	// startOnce starts the registration.
	startOnce sync.Once
	// listed is set once the list has been read since this process registered.
	listed  atomic.Bool
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewRegisteredMachines returns a list to which self is added by Start or, with RegisterOnDemand, by the first List.
func NewRegisteredMachines(store KeyValue, self Machine) *RegisteredMachines {
	return &RegisteredMachines{store: store, self: self, registered: make(chan struct{})}
}

// RegisterOnDemand makes this node register only when it first reads the list. While it finds other nodes without the list, they find it
// as well, and one call per node is saved in large deployments. It must be called before Start.
func (r *RegisteredMachines) RegisterOnDemand() { r.onDemand = true }

// Start registers this node in the background, unless it does so on demand.
func (r *RegisteredMachines) Start() {
	r.context, r.cancel = context.WithCancel(context.Background())
	if !r.onDemand {
		r.startRegistration()
	}
}

// startRegistration registers this node in the background, retrying until it succeeds. Whether an earlier run has already registered it
// is determined by a stale read, which costs a tenth of other calls.
func (r *RegisteredMachines) startRegistration() {
	r.startOnce.Do(func() { r.running.Go(r.registerUntilDone) })
}

func (r *RegisteredMachines) registerUntilDone() {
	if r.isRegistered(r.context) {
		close(r.registered)
		return
	}
	retryBackoff := NewBackoffUpTo(maxRegisterBackoff)
	for r.register(r.context) != nil {
		if retryBackoff.Wait(r.context) != nil {
			return
		}
	}
	close(r.registered)
}

// Stop cancels a registration in progress. The entry remains, since the list lags anyway.
func (r *RegisteredMachines) Stop() {
	r.cancel()
	r.running.Wait()
}

// isRegistered reports whether the list has this node's current entry.
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
				r.initialListing.Store(&listing)
			}
			return true
		}
	}
	return false
}

// entry returns the change that writes this node's entry.
func (r *RegisteredMachines) entry() Change {
	value, err := json.Marshal(registeredNode{Region: r.self.Region, Zone: r.self.Zone, Address: r.self.Address})
	if err != nil {
		panic("encode registration: " + err.Error())
	}
	return Change{Key: nodePrefix + r.self.ID, Value: value}
}

// register writes this node's entry; it is idempotent.
func (r *RegisteredMachines) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.store.Commit(ctx, Transaction{Changes: []Change{r.entry()}})
	return err
}

// listStale lists a prefix, from a state that may be seconds old if the service offers that at a lower cost.
func listStale(ctx context.Context, store KeyValue, prefix string) (Listing, error) {
	if lister, supported := store.(StaleLister); supported {
		return lister.ListStale(ctx, prefix)
	}
	return store.List(ctx, prefix)
}

// List returns the registered nodes. It waits until this node is registered, so that of nodes that start together the later
// ones find the earlier ones. Entries that do not decode are skipped.
func (r *RegisteredMachines) List(ctx context.Context) (MachineListing, error) {
	r.startRegistration()
	select {
	case <-r.registered:
	case <-ctx.Done():
		return MachineListing{}, ctx.Err()
	}
	listing, err := r.readListing(ctx)
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

// readListing returns initialListing the first time, if there is one. Otherwise the first listing after the registration is current, so
// that nodes that start together find each other, and later ones may be seconds old.
func (r *RegisteredMachines) readListing(ctx context.Context) (Listing, error) {
	if found := r.initialListing.Swap(nil); found != nil {
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
