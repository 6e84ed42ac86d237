package platform_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/network"
	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/lab/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const zone = "gulberg-hall"

func startServer(t *testing.T, options platform.Options) *platform.Server {
	t.Helper()
	options.Zones = append(options.Zones, zone)
	server := platform.NewServer(options)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// forEachClient runs test with the in-process client and with the product's adapter over HTTP.
func forEachClient(t *testing.T, test func(t *testing.T, server *platform.Server, client port.KeyValue)) {
	t.Run("in process", func(t *testing.T) {
		server := startServer(t, platform.Options{})
		test(t, server, server.KeyValue(zone))
	})
	t.Run("over HTTP", func(t *testing.T) {
		server := startServer(t, platform.Options{})
		adapter := port.NewKeyValueHTTP(network.System{}, []netip.AddrPort{server.Address(zone)}, 0)
		defer adapter.Close()
		test(t, server, adapter)
	})
}

func put(key, value string, modRevision int64) port.Transaction {
	return port.Transaction{
		Conditions: []port.Condition{{Key: key, ModRevision: modRevision}},
		Changes:    []port.Change{{Key: key, Value: []byte(value)}},
	}
}

func wantKind(t *testing.T, err error, kind *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, kind) {
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
}

func TestCompareAndSwap(t *testing.T) {
	forEachClient(t, func(t *testing.T, _ *platform.Server, client port.KeyValue) {
		ctx := t.Context()
		first, err := client.Commit(ctx, put("/a", "1", 0))
		if err != nil || !first.Committed {
			t.Fatalf("first write: %+v, %v", first, err)
		}
		second, err := client.Commit(ctx, put("/a", "2", 0))
		if err != nil || second.Committed {
			t.Fatalf("write on a stale condition: %+v, %v", second, err)
		}
		want := []port.Entry{{Key: "/a", Value: []byte("1"), CreateRevision: first.Revision, ModRevision: first.Revision}}
		if difference := cmp.Diff(want, second.Current); difference != "" {
			t.Error(difference)
		}
		listing, err := client.List(ctx, "/")
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(port.Listing{Entries: want, Revision: first.Revision}, listing); difference != "" {
			t.Error(difference)
		}
		absent, err := client.Get(ctx, "/b")
		if err != nil || absent.ModRevision != 0 {
			t.Errorf("absent key: %+v, %v", absent, err)
		}
	})
}

func TestWatchFromRevisionAndCompaction(t *testing.T) {
	forEachClient(t, func(t *testing.T, server *platform.Server, client port.KeyValue) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first, _ := client.Commit(ctx, put("/w/a", "1", 0))
		events, err := client.Watch(ctx, "/w/", first.Revision)
		if err != nil {
			t.Fatal(err)
		}
		if event := <-events; event.Revision != first.Revision || string(event.Changed[0].Value) != "1" {
			t.Fatalf("past change: %+v", event)
		}
		both := port.Transaction{Changes: []port.Change{{Key: "/w/a", Delete: true}, {Key: "/w/b", Value: []byte("2")}}}
		second, err := client.Commit(ctx, both)
		if err != nil {
			t.Fatal(err)
		}
		event := <-events
		if event.Revision != second.Revision || len(event.Deleted) != 1 || len(event.Changed) != 1 {
			t.Fatalf("one transaction is one event: %+v", event)
		}
		server.Compact(second.Revision)
		compacted, err := client.Watch(ctx, "/w/", first.Revision)
		if err != nil {
			t.Fatal(err)
		}
		wantKind(t, (<-compacted).Err, port.KindCompacted)
	})
}

func TestOutageEndsWatchesOfItsZoneOnly(t *testing.T) {
	forEachClient(t, func(t *testing.T, server *platform.Server, client port.KeyValue) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		events, err := client.Watch(ctx, "/", 0)
		if err != nil {
			t.Fatal(err)
		}
		server.Faults().Set(platform.Fault{Zone: zone, Service: platform.KeyValue, Outage: platform.OutageRefuses})
		wantKind(t, (<-events).Err, port.KindUnavailable)
		_, err = client.Commit(ctx, put("/a", "1", 0))
		wantKind(t, err, port.KindUnavailable)
		if _, err := server.KeyValue(platform.AnyZone).Get(ctx, "/a"); err != nil {
			t.Errorf("another zone: %v", err)
		}
		server.Faults().Set(platform.Fault{Zone: zone, Service: platform.KeyValue, Outage: platform.OutageDrops})
		_, err = client.Commit(ctx, put("/a", "1", 0))
		wantKind(t, err, port.KindUnknownOutcome)
		server.Faults().Clear(zone, platform.KeyValue)
		if result, err := client.Commit(ctx, put("/a", "1", 0)); err != nil || !result.Committed {
			t.Errorf("after the outage: %+v, %v", result, err)
		}
	})
}

func TestRateLimit(t *testing.T) {
	forEachClient(t, func(t *testing.T, server *platform.Server, client port.KeyValue) {
		server.Faults().Set(platform.Fault{Service: platform.KeyValue, CallsPerSecond: 0.001})
		if _, err := client.Get(t.Context(), "/a"); err != nil {
			t.Fatal(err)
		}
		_, err := client.Get(t.Context(), "/a")
		wantKind(t, err, port.KindRateLimited)
		if count := server.Counters()[platform.OperationGet]; count.Calls != 2 || count.Refused != 1 {
			t.Errorf("counted %+v", count)
		}
	})
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	forEachClient(t, func(t *testing.T, server *platform.Server, client port.KeyValue) {
		server.Faults().Set(platform.Fault{Service: platform.KeyValue, LoseAnswer: 1})
		result, err := port.CommitSettled(t.Context(), client, put("/a", "id-1", 0), port.WriteMark{Key: "/a", ID: "id-1"})
		if err != nil || !result.Committed || result.Revision != 2 {
			t.Fatalf("got %+v, %v", result, err)
		}
		if count := server.Counters()[platform.OperationCommit]; count.Calls != 1 {
			t.Errorf("the write was sent %d times", count.Calls)
		}
	})
}

func TestLease(t *testing.T) {
	forEachClient(t, func(t *testing.T, server *platform.Server, client port.KeyValue) {
		ctx := t.Context()
		lease, err := client.GrantLease(ctx, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		held := port.Transaction{Changes: []port.Change{{Key: "/l", Value: []byte("held"), LeaseID: lease}}}
		if _, err := client.Commit(ctx, held); err != nil {
			t.Fatal(err)
		}
		if left, err := client.KeepAlive(ctx, lease); err != nil || left != time.Minute {
			t.Errorf("keep alive: %s, %v", left, err)
		}
		if err := client.RevokeLease(ctx, lease); err != nil {
			t.Fatal(err)
		}
		if entry, _ := client.Get(ctx, "/l"); entry.ModRevision != 0 {
			t.Errorf("key outlived its lease: %+v", entry)
		}
		_, err = client.KeepAlive(ctx, lease)
		wantKind(t, err, port.KindLeaseNotFound)
		_, err = client.Commit(ctx, held)
		wantKind(t, err, port.KindLeaseNotFound)
	})
}

func TestMachinesAndWeights(t *testing.T) {
	server := startServer(t, platform.Options{
		Machines:         []port.Machine{{ID: "m1", Role: port.RoleNode, State: port.MachineLive}},
		MachineListLag:   time.Hour,
		Weights:          []port.Weights{{Name: "base", Version: "v1", Bytes: 7}},
		FetchesPerSecond: 0.001,
	})
	machines := port.NewMachineListHTTP(network.System{}, server.Address(zone))
	defer machines.Close()
	server.Machines().SetState("m1", port.MachineLeaving)
	if listing, err := machines.List(t.Context()); err != nil || listing.Machines[0].State != port.MachineLive {
		t.Errorf("the list lags: %+v, %v", listing, err)
	}
	server.Machines().SetLag(0)
	if listing, err := machines.List(t.Context()); err != nil || listing.Machines[0].State != port.MachineLeaving {
		t.Errorf("after the lag: %+v, %v", listing, err)
	}
	server.Faults().Set(platform.Fault{Zone: zone, Service: platform.MachineList, Outage: platform.OutageDrops})
	_, err := machines.List(t.Context())
	wantKind(t, err, port.KindUnavailable)
	_, err = server.MachineList(zone).List(t.Context())
	wantKind(t, err, port.KindUnavailable)
	store := port.NewWeightStoreHTTP(network.System{}, server.Address(zone))
	defer store.Close()
	if found, err := store.Describe(t.Context(), "base", "v1"); err != nil || found.Bytes != 7 {
		t.Errorf("describe: %+v, %v", found, err)
	}
	_, err = store.Describe(t.Context(), "base", "v2")
	wantKind(t, err, port.KindRefused)
	if err := store.ReserveFetch(t.Context(), "base", "v1", "r1"); err != nil {
		t.Error(err)
	}
	wantKind(t, store.ReserveFetch(t.Context(), "base", "v1", "r2"), port.KindRateLimited)
}
