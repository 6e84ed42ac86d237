package batch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	methodOnlineLoad transport.Method = "batch.online_load"
	// loadStale is the age at which what an edge told no longer counts.
	loadStale = 3 * time.Second
	// onlineGrowth is how much more online requests may soon use than they do, and freeShare the part of all slots that
	// is left free beside that.
	onlineGrowth = 1.2
	freeShare    = 0.1
)

// onlineLoads holds what edges told of their online requests. It is safe for concurrent use.
type onlineLoads struct {
	mutex  sync.Mutex
	byEdge map[netip.AddrPort]edgeLoad
}

type edgeLoad struct {
	at    time.Time
	inUse map[string]int
}

func newOnlineLoads() *onlineLoads { return &onlineLoads{byEdge: map[netip.AddrPort]edgeLoad{}} }

func (l *onlineLoads) take(edge netip.AddrPort, told *batchpb.OnlineLoad, now time.Time) {
	load := edgeLoad{at: now, inUse: make(map[string]int, len(told.Services))}
	for _, each := range told.Services {
		load.inUse[each.Service] = int(each.InUse)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.byEdge[edge] = load
}

// total returns the online requests at the replicas of service.
func (l *onlineLoads) total(service string, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := 0
	for edge, load := range l.byEdge {
		if now.Sub(load.at) > loadStale {
			delete(l.byEdge, edge)
			continue
		}
		total += load.inUse[service]
	}
	return total
}

// takeOnlineLoads registers the method by which edges tell their load.
func (s *Service) takeOnlineLoads(registrar transport.Registrar) {
	registrar.Handle(methodOnlineLoad, func() proto.Message { return &batchpb.OnlineLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			s.online.take(from, message.(*batchpb.OnlineLoad), time.Now())
			s.yield()
			return nil, nil
		})
}

// room returns how many items may run at the replicas of service beside the online requests, and how many do.
func (s *Service) room(service string, now time.Time) (allowed, running int) {
	slots := 0
	for _, handle := range s.directory.View().Of(service) {
		running += handle.InUse()
		if handle.Usable() {
			slots += handle.Info().Slots
		}
	}
	online := float64(s.online.total(service, now))
	return max(0, int(float64(slots)*(1-freeShare)-online*onlineGrowth)), running
}

func (s *Service) hasRoom(service string, now time.Time) bool {
	allowed, running := s.room(service, now)
	return running < allowed
}

// yield cuts off items, the latest begun first, where online requests need their room.
func (s *Service) yield() {
	now := time.Now()
	s.mutex.RLock()
	owned := make([]*partition, 0, len(s.partitions))
	for _, each := range s.partitions {
		owned = append(owned, each)
	}
	s.mutex.RUnlock()
	for _, each := range owned {
		each.yield(now)
	}
}

func (p *partition) yield(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	excess := map[string]int{}
	for _, run := range p.runs {
		if !run.running || run.handle == nil {
			continue
		}
		service := run.handle.Info().Service
		if _, known := excess[service]; !known {
			allowed, running := p.service.room(service, now)
			excess[service] = running - allowed
		}
	}
	for service, count := range excess {
		for ; count > 0; count-- {
			latest := p.latestRun(service)
			if latest == nil {
				break
			}
			latest.yielded = true
			latest.stop()
		}
	}
}

// latestRun returns the run of service that began last; runs at fuller replicas go first. The mutex is held.
func (p *partition) latestRun(service string) *itemRun {
	var latest *itemRun
	for _, run := range p.runs {
		if !run.running || run.yielded || run.handle == nil || run.handle.Info().Service != service {
			continue
		}
		if latest == nil || run.began > latest.began {
			latest = run
		}
	}
	return latest
}
