package batch

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/transport"
)

// fakeOwned is a partition's log in memory.
type fakeOwned struct {
	mutex   sync.Mutex
	records []ledger.Record
	// blocked keeps appends from being decided; refusal is the error of appends, if set.
	blocked bool
	refusal *outcome.Error
	lost    chan struct{}
	// full makes HasRoom report that only the stores' reserve is left.
	full bool
	// bytesPerSecond is the rate at which records reach the stores; zero for no bound.
	bytesPerSecond int
}

func (o *fakeOwned) AppendReserved(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	return o.Append(ctx, records)
}

func (o *fakeOwned) HasRoom() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return !o.full
}

func (o *fakeOwned) Partition() ledger.PartitionID { return 0 }

func (o *fakeOwned) Append(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	time.Sleep(time.Millisecond + o.transferTime(records))
	for _, record := range records {
		if len(record.Payload) > ledger.MaxRecordBytes {
			return 0, outcome.New(outcome.Failed, outcome.ReasonTooLarge, "record is over the limit")
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for o.blocked && ctx.Err() == nil {
		o.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
		o.mutex.Lock()
	}
	if ctx.Err() != nil {
		return 0, errNotOwner()
	}
	if o.refusal != nil {
		return 0, o.refusal
	}
	o.records = append(o.records, records...)
	return ledger.Position(len(o.records) - len(records) + 1), nil
}

func (o *fakeOwned) transferTime(records []ledger.Record) time.Duration {
	if o.bytesPerSecond == 0 {
		return 0
	}
	bytes := 0
	for _, record := range records {
		bytes += len(record.Payload)
	}
	return time.Duration(bytes) * time.Second / time.Duration(o.bytesPerSecond)
}

func (o *fakeOwned) Read(context.Context, ledger.Position, int) ([]ledger.Record, error) {
	return nil, nil
}

func (o *fakeOwned) Lost() <-chan struct{} { return o.lost }

func (o *fakeOwned) set(stuck bool, refusal *outcome.Error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.blocked, o.refusal = stuck, refusal
}

type noRegistrar struct{}

func (noRegistrar) Handle(transport.Method, func() proto.Message, transport.Handler) {}

// testOwner is a service that owns one partition and has scripted replicas.
type testOwner struct {
	*partition
	service  *Service
	fleet    *fakeFleet
	owned    *fakeOwned
	replicas *replicatest.Network
	routes   *route.Holder
}

const (
	testHost = "h.example"
	// testAttempts is the number of attempts that the route of testTable allows.
	testAttempts = 3
)

func testTable(version int64, withRoute bool) *route.Table {
	var routes []*route.Route
	if withRoute {
		routes = append(routes, &route.Route{
			Name: "r", Host: testHost, Prefix: "/p/", Kind: route.Batch, Attempts: testAttempts, Backends: []route.Backend{{Service: "s", Weight: 1}},
		})
	}
	return route.NewTable(version, routes, nil, route.Limits{})
}

func newService(scripts map[string]replicatest.Script) (*Service, *fakeFleet, *replicatest.Network, *route.Holder) {
	// The zero time of ReportingSince lies long ago, so the start of items is not ramped up.
	fleet := &fakeFleet{}
	network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{}}
	directory := replica.NewDirectory()
	var infos []replica.Info
	port := uint16(1000)
	for id, script := range scripts {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		port++
		network.Scripts[address] = script
		infos = append(infos, replica.Info{ID: id, Service: "s", Version: "v1", Zone: "z", Address: address, Slots: 4})
	}
	directory.Replace(infos)
	routes := route.NewHolder()
	routes.Offer(testTable(1, true))
	picker := balance.NewPicker(directory, region.Topology{}, func() float64 { return 0 })
	client := replica.NewClient(network, replicatest.Headers)
	options := Options{Zone: "z", MaxBytes: 1 << 20, KeepResults: time.Minute, Report: replica.LoadReport{
		Path: "/load", Parse: func([]byte) (replica.Load, error) { return replica.Load{}, nil },
	}}
	service := NewService(options, routes, directory, fleet, picker, client, noRegistrar{}, zerolog.Nop())
	return service, fleet, network, routes
}

// startOwner starts a partition whose log already contains records.
func startOwner(t *testing.T, scripts map[string]replicatest.Script, records ...ledger.Record) *testOwner {
	t.Helper()
	return startOwnerWithRegister(t, nil, scripts, records...)
}

// startOwnerWithRegister is startOwner with a register of messages that crash replicas.
func startOwnerWithRegister(t *testing.T, register quarantine.ItemRegister, scripts map[string]replicatest.Script, records ...ledger.Record) *testOwner {
	t.Helper()
	service, fleet, network, routes := newService(scripts)
	service.options.Quarantine = register
	if counting, isCounting := register.(*countingRegister); isCounting {
		counting.directory = service.directory
	}
	return startPartition(t, unconfined, service, fleet, network, routes, records...)
}

// startPartition is startOwner for a partition of an existing service.
func startPartition(
	t *testing.T, id ledger.PartitionID, service *Service, fleet *fakeFleet, network *replicatest.Network, routes *route.Holder,
	records ...ledger.Record,
) *testOwner {
	t.Helper()
	owner := newPartition(id, service)
	owned := &fakeOwned{lost: make(chan struct{}), records: records}
	if err := owner.Restore(nil); err != nil {
		t.Fatal(err)
	}
	for index, record := range records {
		if err := owner.Apply(ledger.Position(index+1), record); err != nil {
			t.Fatal(err)
		}
	}
	owner.Serve(owned)
	return &testOwner{partition: owner, service: service, fleet: fleet, owned: owned, replicas: network, routes: routes}
}

func (o *testOwner) stop() {
	o.Stop()
	o.replicas.CloseAll()
	synctest.Wait()
}

func (o *testOwner) mustSubmit(t *testing.T, submission *batchpb.Submission) {
	t.Helper()
	response, err := o.submit(t.Context(), &batchpb.SubmitRequest{Submission: submission})
	if err != nil || !response.Accepted {
		t.Fatalf("submission of %s: %v, %v", submission.JobId, response, err)
	}
}

// results waits until the job has count results, and fails if it has fewer after the time within.
func (o *testOwner) results(t *testing.T, jobID string, count int, within time.Duration) []*batchpb.ListedResult {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		response, err := o.read(t.Context(), &batchpb.ReadRequest{JobId: jobID})
		if err != nil {
			t.Fatal(err)
		}
		if len(response.Results) >= count {
			return response.Results
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d results after %s", len(response.Results), count, within)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
