package platform_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/network"
	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/lab/platform"
	wire "github.com/sloelift/sloelift/platform"
)

// metadataClient returns the product's client for the platform's store, connected to the simulated platform.
func metadataClient(t *testing.T, server *platform.Server) *wire.Store {
	t.Helper()
	store := wire.NewStore(port.NewExchanger(network.System{}, server.Address(zone)), func() time.Duration { return time.Second })
	t.Cleanup(store.Close)
	return store
}

// TestMetadataStoreProtocol guards that the product's client and the simulated platform agree on the protocol of every call.
func TestMetadataStoreProtocol(t *testing.T) {
	server := startServer(t, platform.Options{})
	store, ctx := metadataClient(t, server), t.Context()
	lease, err := store.GrantLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	leased := put("a/1", "one", 0)
	leased.Changes[0].LeaseID = lease
	first, err := store.Commit(ctx, leased)
	if err != nil || !first.Committed {
		t.Fatalf("first write: %+v, %v", first, err)
	}
	stale, err := store.Commit(ctx, put("a/1", "two", 0))
	if err != nil || stale.Committed || len(stale.Current) != 1 || string(stale.Current[0].Value) != "one" {
		t.Errorf("write on a stale condition: %+v, %v", stale, err)
	}
	entry, err := store.Get(ctx, "a/1")
	if err != nil || entry.ModRevision != first.Revision || entry.LeaseID != lease {
		t.Errorf("entry is %+v, %v", entry, err)
	}
	if absent, err := store.Get(ctx, "b"); err != nil || absent.ModRevision != 0 {
		t.Errorf("absent key is %+v, %v", absent, err)
	}
	listing, err := store.List(ctx, "a/")
	if err != nil || len(listing.Entries) != 1 || listing.Revision != first.Revision {
		t.Errorf("listing is %+v, %v", listing, err)
	}
	if left, err := store.KeepAlive(ctx, lease); err != nil || left != time.Minute {
		t.Errorf("lease lasts %s, %v", left, err)
	}
	watched, stop := context.WithCancel(ctx)
	defer stop()
	events, err := store.Watch(watched, "a/", first.Revision)
	if err != nil {
		t.Fatal(err)
	}
	if event := <-events; event.Revision != first.Revision || len(event.Changed) != 1 {
		t.Errorf("past change: %+v", event)
	}
	if err := store.RevokeLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	for event := range events {
		if len(event.Deleted) == 1 {
			break
		}
	}
	_, err = store.KeepAlive(ctx, lease)
	wantKind(t, err, port.KindLeaseNotFound)
}

func TestMetadataStoreFails(t *testing.T) {
	server := startServer(t, platform.Options{})
	store, ctx := metadataClient(t, server), t.Context()
	for outage, kind := range map[platform.Outage]string{platform.OutageRefuses: "refused", platform.OutageDrops: "dropped"} {
		server.Faults().Set(platform.Fault{Zone: zone, Service: platform.KeyValue, Outage: outage})
		_, err := store.Commit(ctx, put("a", "1", 0))
		if outage == platform.OutageRefuses {
			wantKind(t, err, port.KindUnavailable)
		} else {
			wantKind(t, err, port.KindUnknownOutcome)
		}
		if _, err := store.Get(ctx, "a"); err == nil {
			t.Errorf("a call that is %s is answered", kind)
		}
		server.Faults().Clear(zone, platform.KeyValue)
	}
	if _, err := store.Commit(ctx, put("a", "1", 0)); err != nil {
		t.Fatal(err)
	}
	server.Compact(math.MaxInt64)
	events, err := store.Watch(ctx, "a", 1)
	if err != nil {
		t.Fatal(err)
	}
	wantKind(t, (<-events).Err, port.KindCompacted)
}
