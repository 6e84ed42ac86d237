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
	onlineGrowth = 1.15
	freeShare    = 0.08
	// keptGrowth and keptFreeShare are the same for items that run already.
	keptGrowth    = 1.05
	keptFreeShare = 0.03
	// recentSpan is how long a higher number of online requests counts for the begin of items.
	recentSpan = 600 * time.Millisecond
	// rampSpan is how long the begin of items is held back after the start of the process, or after no edge was heard: what edges
	// tell then is not yet what their callers want, who come back all at once.
	rampSpan = 2 * time.Second
)

// onlineLoads holds what edges told of their online requests. It is safe for concurrent use.
type onlineLoads struct {
	mutex  sync.Mutex
	byEdge map[netip.AddrPort]edgeLoad
	// peaks holds, by service, the highest total of the latest times.
	peaks map[string]peak
	// since is when the present edges began to be heard, or the process began.
	since time.Time
}

type peak struct {
	total int
	at    time.Time
}

type edgeLoad struct {
	at    time.Time
	inUse map[string]int
}

func newOnlineLoads() *onlineLoads {
	return &onlineLoads{byEdge: map[netip.AddrPort]edgeLoad{}, peaks: map[string]peak{}, since: time.Now()}
}

func (l *onlineLoads) take(edge netip.AddrPort, told *batchpb.OnlineLoad, now time.Time) {
	load := edgeLoad{at: now, inUse: make(map[string]int, len(told.Services))}
	for _, each := range told.Services {
		load.inUse[each.Service] = int(each.InUse)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := len(l.byEdge) > 0
	l.prune(now)
	if known && len(l.byEdge) == 0 {
		l.since = now
	}
	l.byEdge[edge] = load
}

// prune forgets what edges told long ago. The mutex is held.
func (l *onlineLoads) prune(now time.Time) {
	for edge, load := range l.byEdge {
		if now.Sub(load.at) > loadStale {
			delete(l.byEdge, edge)
		}
	}
}

// ramp returns the part of the room that items may begin in, from 0 to 1.
func (l *onlineLoads) ramp(now time.Time) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return min(1, max(0, float64(now.Sub(l.since))/float64(rampSpan)))
}

// total returns the online requests at the replicas of service, and the most of the last recentSpan.
func (l *onlineLoads) total(service string, now time.Time) (present, recent int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, load := range l.byEdge {
		if now.Sub(load.at) <= loadStale {
			present += load.inUse[service]
		}
	}
	highest := l.peaks[service]
	if present >= highest.total || now.Sub(highest.at) > recentSpan {
		highest = peak{total: present, at: now}
		l.peaks[service] = highest
	}
	return present, highest.total
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

// room returns how many items may run at the replicas of service beside the online requests: up to begin, further ones are
// begun; beyond keep, running ones are cut off. The gap between the two keeps items from being cut off and begun in turns.
func (s *Service) room(service string, now time.Time) (begin, keep, running int) {
	slots := 0
	for _, handle := range s.directory.View().Of(service) {
		running += handle.InUse()
		if handle.Usable() {
			slots += handle.Info().Slots
		}
	}
	present, recent := s.online.total(service, now)
	begin = max(0, int((float64(slots)*(1-freeShare)-float64(recent)*onlineGrowth)*s.online.ramp(now)))
	keep = max(0, int(float64(slots)*(1-keptFreeShare)-float64(present)*keptGrowth))
	return begin, max(begin, keep), running
}

func (s *Service) hasRoom(service string, now time.Time) bool {
	begin, _, running := s.room(service, now)
	return running < begin
}

// yield cuts off items, the latest accepted first, where online requests need their room.
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
			_, keep, running := p.service.room(service, now)
			excess[service] = running - keep
		}
	}
	for service, count := range excess {
		for ; count > 0; count-- {
			latest := p.latestRun(service)
			if latest == nil {
				break
			}
			latest.yield()
			p.yields.Add(1)
		}
	}
}

// latestRun returns the run of service whose job was accepted last, and of those the one that began last: it has the most time
// left and has made the least. The mutex is held.
func (p *partition) latestRun(service string) *itemRun {
	var latest *itemRun
	for _, run := range p.runs {
		if !run.running || run.yielded || run.handle == nil || run.handle.Info().Service != service {
			continue
		}
		if latest == nil || run.acceptedAt > latest.acceptedAt || (run.acceptedAt == latest.acceptedAt && run.began > latest.began) {
			latest = run
		}
	}
	return latest
}
