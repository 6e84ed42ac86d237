package batch

import (
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// onlineGrowth is how much more online requests may soon use than they do, and freeShare the part of all slots that
	// is left free beside that.
	onlineGrowth = 1.15
	freeShare    = 0.08
	// keptGrowth and keptFreeShare are the same for items that run already.
	keptGrowth    = 1.05
	keptFreeShare = 0.03
	// recentSpan is how long a higher number of online requests counts for the begin of items. Lulls between bursts last 3.4 s on the shifted
	// deployment, and an item that is cut off costs some 20 ms of a replica (policy.md, round 20).
	recentSpan = 200 * time.Millisecond
	// rampSpan is how long the begin of items is held back after the start of the process, or after no edge was heard: what edges
	// tell then is not yet what their callers want, who come back all at once.
	rampSpan = 2 * time.Second
)

// FleetLoad tells how many requests the other nodes have at replicas. It is safe for concurrent use.
type FleetLoad interface {
	// Others returns their requests for service.
	Others(service string, now time.Time) loadshare.Demand
	// ReportingSince returns since when nodes with online requests have reported without a break.
	ReportingSince() time.Time
}

// recentPeaks holds, by service, the highest number of online requests of the latest times. It is safe for concurrent use.
type recentPeaks struct {
	mutex  sync.Mutex
	byName map[string]peak
}

type peak struct {
	total int
	at    time.Time
}

// observe takes in the present number and returns the highest of the last recentSpan.
func (p *recentPeaks) observe(service string, present int, now time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	highest := p.byName[service]
	if present >= highest.total || now.Sub(highest.at) > recentSpan {
		highest = peak{total: present, at: now}
		p.byName[service] = highest
	}
	return highest.total
}

// ramp returns the part of the room that items may begin in, from 0 to 1.
func (s *Service) ramp(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(s.fleet.ReportingSince()))/float64(rampSpan)))
}

// OnlineChanged takes in a new report of the fleet's online requests: items give way where these need their room.
func (s *Service) OnlineChanged() {
	s.observeCapacity(s.routes.Table(), clock.Now())
	s.yield()
}

// room returns how many items of this node may run at the replicas of service beside the online requests and the items of other
// nodes: up to begin, further ones are begun; beyond keep, running ones are cut off. The gap between the two keeps items from being
// cut off and begun in turns. Where several nodes have items there, each cuts off its part of what is too much.
func (s *Service) room(service string, now time.Time) (begin, keep, running int) {
	view := s.directory.View()
	// What still runs in evacuated zones counts among the requests below, but takes no room that is left.
	slots := view.WorkingSlots(service, now) + view.EvacuatedInUse(service, now)
	running = runningAt(view, service)
	others := s.fleet.Others(service, now)
	present, elsewhere := others.Online(), others.Batch
	recent := s.peaks.observe(service, present, now)
	begin = int((float64(slots)*(1-freeShare) - float64(recent)*onlineGrowth) * s.ramp(now))
	keep = max(begin, int(float64(slots)*(1-keptFreeShare)-float64(present)*keptGrowth))
	return max(0, begin-elsewhere), ownPart(max(0, keep), running, elsewhere), running
}

// taken returns the part of the slots of service that all nodes' requests and items are in.
func (s *Service) taken(service string, now time.Time) float64 {
	view := s.directory.View()
	others := s.fleet.Others(service, now)
	return float64(others.Online()+others.Batch+runningAt(view, service)) / float64(max(1, view.WorkingSlots(service, now)))
}

// runningAt returns how many items of this node run at the replicas of service.
func runningAt(view *replica.View, service string) (running int) {
	for _, handle := range view.Of(service) {
		running += handle.InUse()
	}
	return running
}

// ownPart returns how many of running items may go on where elsewhere others run and all together may be keep.
func ownPart(keep, running, elsewhere int) int {
	if running+elsewhere <= keep || running == 0 {
		return max(running, keep-elsewhere)
	}
	return keep * running / (running + elsewhere)
}

func (s *Service) hasRoom(service string, now time.Time) bool {
	begin, _, running := s.room(service, now)
	return running < begin
}

// yield cuts off items, the latest accepted first, where online requests need their room.
func (s *Service) yield() {
	now := clock.Now()
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
			key, least := p.leastUrgentRun(service, region.Set{})
			if least == nil {
				break
			}
			p.cutOff(key, least)
		}
	}
}
