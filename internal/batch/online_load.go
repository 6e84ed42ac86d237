package batch

import (
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// startOnlineGrowth is the factor by which online requests may grow soon; startFreeShare is the share of all slots that is kept
	// free in addition. Both limit the start of items.
	startOnlineGrowth = 1.15
	startFreeShare    = 0.08
	// keepOnlineGrowth and keepFreeShare are the same limits for items that already run.
	keepOnlineGrowth = 1.05
	keepFreeShare    = 0.03
	// peakWindow is how long a peak of online requests limits the start of items. Lulls between bursts last 3.4 s on the shifted
	// deployment, and an item that is cut off costs some 20 ms of a replica (policy.md, round 20).
	peakWindow = 200 * time.Millisecond
	// rampSpan is the time over which the start of items is ramped up after the start of the process, or after no edge was
	// reporting. What edges report at first is less than what their callers want, who all return at once.
	rampSpan = 2 * time.Second
)

// FleetLoad reports how many requests the other nodes have at replicas. It is safe for concurrent use.
type FleetLoad interface {
	// OthersLoad returns the requests of the other nodes for service.
	OthersLoad(service string, now time.Time) loadshare.Demand
	// ReportingSince returns since when nodes with online requests have been reporting without interruption.
	ReportingSince() time.Time
}

// recentPeaks keeps the recent maximum number of online requests of each service. It is safe for concurrent use.
type recentPeaks struct {
	mutex     sync.Mutex
	byService map[string]peak
}

type peak struct {
	requests int
	at       time.Time
}

// observe notes the current number and returns the maximum of the last peakWindow.
func (p *recentPeaks) observe(service string, present int, now time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	highest := p.byService[service]
	if present >= highest.requests || now.Sub(highest.at) > peakWindow {
		highest = peak{requests: present, at: now}
		p.byService[service] = highest
	}
	return highest.requests
}

// ramp returns the share of the room in which items may start, from 0 to 1.
func (s *Service) ramp(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(s.fleet.ReportingSince()))/float64(rampSpan)))
}

// OnlineChanged handles a new report of the fleet's online requests: items are preempted where these requests need their room.
func (s *Service) OnlineChanged() {
	s.observeCapacity(s.routes.Table(), clock.Now())
	s.preemptExcess()
}

// itemLimits returns how many items of this node may run at the replicas of service besides the online requests and the items of
// other nodes. Items are started up to startLimit and cut off above keepLimit; the gap between the two prevents items from being cut
// off and started in turns. If several nodes have items there, each cuts off its share of the excess. running is the number of items
// of this node that run there now.
func (s *Service) itemLimits(service string, now time.Time) (startLimit, keepLimit, running int) {
	view := s.directory.View()
	// Requests that still run in evacuated zones are counted below, but take none of the remaining room.
	slots := view.WorkingSlots(service, now) + view.EvacuatedInUse(service, now)
	running = runningAt(view, service)
	others := s.fleet.OthersLoad(service, now)
	present, otherItems := others.Online(), others.Batch
	recent := s.peaks.observe(service, present, now)
	startLimit = int((float64(slots)*(1-startFreeShare) - float64(recent)*startOnlineGrowth) * s.ramp(now))
	keepLimit = max(startLimit, int(float64(slots)*(1-keepFreeShare)-float64(present)*keepOnlineGrowth))
	return max(0, startLimit-otherItems), ownShare(max(0, keepLimit), running, otherItems), running
}

// occupancy returns the share of the slots of service that is used by the requests and items of all nodes.
func (s *Service) occupancy(service string, now time.Time) float64 {
	view := s.directory.View()
	others := s.fleet.OthersLoad(service, now)
	return float64(others.Online()+others.Batch+runningAt(view, service)) / float64(max(1, view.WorkingSlots(service, now)))
}

// runningAt returns how many items of this node run at the replicas of service.
func runningAt(view *replica.View, service string) (running int) {
	for _, handle := range view.ForService(service) {
		running += handle.InUse()
	}
	return running
}

// ownShare returns how many of this node's running items may continue if elsewhere items run at other nodes and keep may run in
// total.
func ownShare(keep, running, elsewhere int) int {
	if running+elsewhere <= keep || running == 0 {
		return max(running, keep-elsewhere)
	}
	return keep * running / (running + elsewhere)
}

func (s *Service) hasRoom(service string, now time.Time) bool {
	startLimit, _, running := s.itemLimits(service, now)
	return running < startLimit
}

// preemptExcess cuts off the least urgent items where online requests need their room.
func (s *Service) preemptExcess() {
	now := clock.Now()
	for _, ownedPartition := range s.owned() {
		ownedPartition.preemptExcess(now)
	}
}

func (p *partition) preemptExcess(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	excess := map[string]int{}
	for _, run := range p.runs {
		if !run.running || run.handle == nil {
			continue
		}
		service := run.handle.Info().Service
		if _, computed := excess[service]; !computed {
			_, keepLimit, running := p.service.itemLimits(service, now)
			excess[service] = running - keepLimit
		}
	}
	for service, count := range excess {
		if count <= 0 {
			continue
		}
		runs := p.preemptibleRuns(service, region.Set{}, replica.Origin{})
		slices.SortFunc(runs, comparePreemptible)
		for _, least := range runs[:min(count, len(runs))] {
			p.preempt(least.key, least.run)
		}
	}
}
