package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// cachingEngine fakes a machine list with one replica and its engine, which stores a block before each poll of cache events.
type cachingEngine struct {
	engine.Client // only the methods below are used
	// mutex guards the fields below.
	mutex    sync.Mutex
	sequence uint64
	events   uint64
}

func (e *cachingEngine) List(context.Context) (platform.MachineListing, error) {
	return platform.MachineListing{Version: 1, Machines: []platform.Machine{machine("r1", "z1", platform.MachineLive)}}, nil
}

func (e *cachingEngine) Load(context.Context, engine.Endpoint) (engine.LoadReport, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	return engine.LoadReport{Sequence: e.sequence, MeasuredAt: time.Now()}, nil
}

func (e *cachingEngine) CacheEvents(_ context.Context, _ engine.Endpoint, from uint64) (engine.CacheEvents, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.events++
	page := engine.CacheEvents{Next: max(from, 1)}
	for sequence := max(from, 1); sequence <= e.events; sequence++ {
		page.Events = append(page.Events, engine.CacheEvent{Sequence: sequence, Kind: cacheStored, Blocks: []uint64{sequence}})
		page.Next = sequence + 1
	}
	return page, nil
}

func (e *cachingEngine) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence, e.events = 0, 0
}

// fixedView is a membership.Viewer whose view never changes.
type fixedView struct{ members []membership.Member }

func (v fixedView) View() *membership.View { return &membership.View{Members: v.members} }

func (v fixedView) Subscribe(func(*membership.View)) (unsubscribe func()) { return func() {} }

func TestCacheEventsReachTheZoneAndSurviveARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, cachingReplica := memory.NewNetwork(1), &cachingEngine{}
		network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
			return memory.Conditions{Delay: time.Millisecond}
		})
		var view fixedView
		for index := range 2 {
			view.members = append(view.members, membership.Member{
				ID: membership.NodeID(fmt.Sprint("n", index)), Zone: "z1",
				PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)),
			})
		}
		var mutex sync.Mutex
		var stored, cleared [2]int
		var services []*Service
		var transports []*memory.Transport
		for index, member := range view.members {
			nodeTransport, err := memory.NewTransport(network, member.PeerAddress, prometheus.NewRegistry())
			if err != nil {
				t.Fatal(err)
			}
			service := NewService(DefaultOptions(), settings.Settings{Node: string(member.ID), Zone: "z1"},
				cachingReplica, view, cachingReplica, nodeTransport, zerolog.Nop())
			service.Register(nodeTransport)
			service.SubscribeCache(func(change CacheChange) {
				mutex.Lock()
				defer mutex.Unlock()
				stored[index] += len(change.Stored)
				if change.Cleared {
					cleared[index]++
				}
			})
			services, transports = append(services, service), append(transports, nodeTransport)
			nodeTransport.Start()
			service.Start()
		}
		time.Sleep(3 * time.Second)
		cachingReplica.restart()
		time.Sleep(3 * time.Second)
		for _, service := range services {
			service.Stop()
		}
		time.Sleep(time.Second)
		for _, end := range transports {
			end.Stop()
		}
		for index := range 2 {
			if stored[index] < 20 || cleared[index] == 0 {
				t.Errorf("node %d was notified of %d stored blocks and %d restarts, want at least 20 and 1",
					index, stored[index], cleared[index])
			}
		}
	})
}
