package platform

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// registry is a store of registrations that counts its calls.
type registry struct {
	KeyValue
	entries              []Entry
	writes, lists, stale int
	// staleEntries counts the entries returned by stale reads.
	staleEntries int
}

func (r *registry) Commit(_ context.Context, transaction Transaction) (CommitResult, error) {
	r.writes++
	for _, change := range transaction.Changes {
		r.entries = append(r.entries, Entry{Key: change.Key, Value: change.Value})
	}
	return CommitResult{Committed: true}, nil
}

func (r *registry) List(context.Context, string) (Listing, error) {
	r.lists++
	return Listing{Entries: r.entries}, nil
}

func (r *registry) ListStale(_ context.Context, prefix string) (Listing, error) {
	r.stale++
	var listing Listing
	for _, entry := range r.entries {
		if strings.HasPrefix(entry.Key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	r.staleEntries += len(listing.Entries)
	return listing, nil
}

// TestNodeRegistersOnDemand: a node makes no call until it reads the list. Then it reads only its own entry, however many nodes are
// registered, registers, and appears in the list. It does not register again after a restart.
func TestNodeRegistersOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{}
		for number := range 1000 {
			store.entries = append(store.entries, Entry{Key: fmt.Sprintf("%sedge-%04d", nodePrefix, number), Value: []byte("{}")})
		}
		for start := range 2 {
			machines := NewRegisteredMachines(store, Machine{ID: "n1", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1")})
			machines.RegisterOnDemand()
			machines.Start()
			time.Sleep(time.Hour)
			if store.writes != min(start, 1) || store.stale != start || store.lists != start {
				t.Errorf("start %d, before reading the list: %d writes, %d stale reads, %d lists", start, store.writes, store.stale, store.lists)
			}
			listing, err := machines.List(t.Context())
			if err != nil || len(listing.Machines) != 1001 {
				t.Errorf("listed %d nodes, want 1001; error %v", len(listing.Machines), err)
			}
			machines.Stop()
		}
		if store.writes != 1 || store.stale != 2 || store.lists != 2 || store.staleEntries != 1 {
			t.Errorf("two starts: %d writes, %d stale reads of %d entries, %d lists", store.writes, store.stale, store.staleEntries, store.lists)
		}
	})
}

// TestRestartedNodeIsNotRegisteredAgain: a node registered by an earlier run makes only one stale read, the cheapest call.
func TestRestartedNodeIsNotRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &registry{}
		self := Machine{ID: "n1", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		listOnce := func(machine Machine) {
			machines := NewRegisteredMachines(store, machine)
			machines.Start()
			defer machines.Stop()
			listing, err := machines.List(t.Context())
			if err != nil || len(listing.Machines) == 0 || listing.Machines[len(listing.Machines)-1].Address != machine.Address {
				t.Errorf("listed %+v, %v", listing, err)
			}
		}
		listOnce(self)
		if store.writes != 1 || store.lists != 1 || store.stale != 1 {
			t.Errorf("first start: %d writes, %d lists, %d stale reads, want one of each", store.writes, store.lists, store.stale)
		}
		time.Sleep(time.Second)
		listOnce(self)
		if store.writes != 1 || store.lists != 1 || store.stale != 2 {
			t.Errorf("after the second start: %d writes, %d lists, %d stale reads, want 1, 1 and 2", store.writes, store.lists, store.stale)
		}
		self.Address = netip.MustParseAddrPort("127.0.0.1:2")
		listOnce(self)
		if store.writes != 2 {
			t.Error("a node whose address changed was not registered again")
		}
	})
}
