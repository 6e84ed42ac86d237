package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// smallFleet simulates four engines and the dependencies of the nodes. Each node has a membership view of its own, so that two nodes can
// both act as the orderer.
type smallFleet struct {
	engine.Client // only Order is used
	fenceStore
	// mutex guards the fields below.
	mutex    sync.Mutex
	reports  map[string]*engine.LoadReport
	fenced   int
	orders   int
	snapshot *config.Snapshot
	// fetches is the number of fetches that the weight store still grants.
	fetches int
}

func newSmallFleet() *smallFleet {
	f := &smallFleet{reports: make(map[string]*engine.LoadReport), fetches: 100}
	for index := range 4 {
		f.reports[fmt.Sprint("r", index)] = &engine.LoadReport{Models: []engine.LoadedModel{{Model: "m", Version: "1", State: stateReady}}}
	}
	f.declare(1, "1")
	return f
}

func (f *smallFleet) declare(revision int64, version string, adapters ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.snapshot = &config.Snapshot{
		Revision: revision,
		Models:   map[string]*config.Model{"m": {Name: "m", Version: version, Adapters: adapters}},
		Services: map[string]*config.Service{"chat": {Name: "chat", Models: []string{"m"}}},
	}
}

func (f *smallFleet) Current() *config.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot
}

func (f *smallFleet) Subscribe(func(*config.Snapshot)) (unsubscribe func()) { return func() {} }

func (f *smallFleet) Describe(context.Context, string, string) (platform.Weights, error) {
	return platform.Weights{}, nil
}

func (f *smallFleet) ReserveFetch(context.Context, string, string, string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.fetches == 0 {
		return platform.KindRateLimited.New("spent")
	}
	f.fetches--
	return nil
}

// Order executes an order immediately.
func (f *smallFleet) Order(_ context.Context, to engine.Endpoint, order engine.Order) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	report := f.reports[to.Replica]
	if order.Fence < report.FenceToken {
		f.fenced++
		return engine.KindFenced.New("fence %d below %d", order.Fence, report.FenceToken)
	}
	report.FenceToken = order.Fence
	f.orders++
	switch order.Kind {
	case engine.OrderSetRole:
		report.Role = order.Role
	case engine.OrderLoadModel:
		report.Models = append([]engine.LoadedModel{{Model: order.Model, Version: order.Version, State: stateReady}}, report.Models...)
	case engine.OrderLoadAdapter:
		report.Models = []engine.LoadedModel{{Model: order.Model, Version: order.Version, State: stateReady, Adapters: []string{order.Adapter}}}
	case engine.OrderUnloadModel:
		report.Models = nil
	}
	return nil
}

func (f *smallFleet) grantFetches(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fetches = count
}

func (f *smallFleet) counts() (orders, fenced int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.orders, f.fenced
}

// directory is a fleet.Source that lists the current state of the engines.
type directory struct{ fleet *smallFleet }

func (d directory) Subscribe(func(*fleet.Directory)) (unsubscribe func()) { return func() {} }

func (d directory) Directory() *fleet.Directory {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	var replicas []fleet.Replica
	for id, report := range d.fleet.reports {
		replica := fleet.Replica{
			ID: id, Service: "chat", Endpoint: engine.Endpoint{Replica: id}, Load: *report, HasLoad: true, HeardAt: time.Now(),
		}
		replica.Load.MeasuredAt = time.Now()
		replicas = append(replicas, replica)
	}
	return fleet.NewDirectory(1, replicas)
}

// singleNodeView is the view of a node that knows no other members.
type singleNodeView struct{ node string }

func (v singleNodeView) View() *membership.View {
	id := membership.NodeID(v.node)
	return &membership.View{Self: id, Members: []membership.Member{{ID: id}}}
}

func (v singleNodeView) Subscribe(func(*membership.View)) (unsubscribe func()) { return func() {} }

func (f *smallFleet) startNode(node string) *Service {
	service := NewService(DefaultOptions(), Dependencies{
		Node: node, Fleet: directory{f}, Viewer: singleNodeView{node}, Config: f, Engines: f, Store: f, Weights: f, Logger: zerolog.Nop(),
	}, prometheus.NewRegistry())
	service.Start()
	return service
}

// expect checks the loaded version and the adapters of all engines.
func (f *smallFleet) expect(t *testing.T, version string, adapters int) {
	t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, report := range f.reports {
		if len(report.Models) != 1 || report.Models[0].Version != version || len(report.Models[0].Adapters) != adapters || report.Role != "" {
			t.Errorf("%s holds %+v in role %q, want version %s", id, report.Models, report.Role, version)
		}
	}
}

func TestServiceRollsVersionsAndAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSmallFleet()
		node := f.startNode("a")
		time.Sleep(5 * time.Second)
		if orders, _ := f.counts(); orders != 0 {
			t.Errorf("%d orders without a change", orders)
		}
		f.declare(2, "2")
		f.grantFetches(0)
		time.Sleep(20 * time.Second)
		f.expect(t, "1", 0) // without a granted fetch no replica is taken out of service
		f.grantFetches(100)
		time.Sleep(60 * time.Second)
		f.expect(t, "2", 0)
		f.declare(3, "2", "parish")
		time.Sleep(20 * time.Second)
		f.expect(t, "2", 1)
		node.Stop()
	})
}

func TestTwoOrderersAreSafe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSmallFleet()
		first, second := f.startNode("a"), f.startNode("b")
		f.declare(2, "2")
		time.Sleep(3 * time.Minute)
		f.expect(t, "2", 0)
		if _, fenced := f.counts(); fenced == 0 {
			t.Error("no order was fenced off")
		}
		first.Stop()
		second.Stop()
	})
}
