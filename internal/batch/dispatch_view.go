package batch

import (
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/route"
)

// observeCapacity records the number of slots that items may use now at the services of batch routes. A node that owns no partition
// records it too, so that it can plan as soon as it owns one. While the start of items is ramped up after a start, the number does
// not represent later capacity and is not recorded.
func (s *Service) observeCapacity(table *route.Table, now time.Time) {
	if table == nil || s.ramp(now) < 1 {
		return
	}
	slots, all := 0, 0
	for _, service := range batchServices(table) {
		startLimit, _, _ := s.itemLimits(service, now)
		slots += startLimit
		all += s.directory.View().Slots(service)
	}
	s.capacity.observe(slots, all, now)
}

// batchServices returns the services of all batch routes without duplicates.
func batchServices(table *route.Table) []string {
	var found []string
	for _, entry := range table.Routes {
		if entry.Kind != route.Batch {
			continue
		}
		for _, backend := range entry.Backends {
			if !slices.Contains(found, backend.Service) {
				found = append(found, backend.Service)
			}
		}
	}
	return found
}

// report logs the running and the waiting items, by service.
func (p *partition) report() {
	p.mutex.RLock()
	waiting, late, running := 0, 0, map[string]int{}
	kept := p.state.bytes
	for _, job := range p.state.order {
		if job.open() {
			waiting += len(job.items) - len(job.listed)
		}
	}
	for _, run := range p.runs {
		if run.running && run.handle != nil {
			running[run.handle.Info().Service]++
			waiting--
		}
		if run.late {
			late++
		}
	}
	capacity := p.service.capacity.slots()
	p.mutex.RUnlock()
	now := clock.Now()
	for service, count := range running {
		startLimit, keepLimit, _ := p.service.itemLimits(service, now)
		p.logger.Info().Str("service", service).Int("waiting", waiting).Int("running", count).
			Int("begin", startLimit).Int("keep", keepLimit).Int("online", p.service.fleet.OthersLoad(service, now).Online()).
			Int("late", late).Float64("capacity", capacity).Int64("kept_bytes", kept).Int64("yielded", p.preemptions.Load()).Int64("plans", p.plans.Load()).
			Msg("batch_state")
	}
}

// pollLoads asks the replicas of all batch routes for their load.
func (p *partition) pollLoads() {
	for _, service := range batchServices(p.service.routes.Table()) {
		for _, handle := range p.service.directory.View().ForService(service) {
			p.service.pollLoad(p.ctx, handle)
		}
	}
}
