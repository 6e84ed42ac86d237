package batch

import (
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/route"
)

// observeCapacity notes the slots that items may use now at the services of batch routes. A node that owns no partition does so too, so
// that it can plan from the moment at which it owns one. While their begin is held back after a
// start, that tells nothing of the times to come.
func (s *Service) observeCapacity(table *route.Table, now time.Time) {
	if table == nil || s.ramp(now) < 1 {
		return
	}
	slots, all := 0, 0
	for _, service := range batchServices(table) {
		begin, _, _ := s.room(service, now)
		slots += begin
		all += s.directory.View().Slots(service)
	}
	s.capacity.observe(slots, all, now)
}

// batchServices returns the services of all batch routes, each once.
func batchServices(table *route.Table) []string {
	var found []string
	for _, each := range table.Routes {
		if each.Kind != route.Batch {
			continue
		}
		for _, backend := range each.Backends {
			if !slices.Contains(found, backend.Service) {
				found = append(found, backend.Service)
			}
		}
	}
	return found
}

// report logs what runs and what waits, by service.
func (p *partition) report() {
	p.mutex.RLock()
	waiting, late, running := 0, 0, map[string]int{}
	kept := p.state.bytes
	for _, each := range p.state.order {
		if each.open() {
			waiting += len(each.items) - len(each.listed)
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
		begin, keep, _ := p.service.room(service, now)
		p.logger.Info().Str("service", service).Int("waiting", waiting).Int("running", count).Int("begin", begin).Int("keep", keep).
			Int("online", p.service.fleet.Others(service, now).Online()).Int("late", late).Float64("capacity", capacity).Int64("kept_bytes", kept).Int64("yielded", p.yields.Load()).Msg("batch_state")
	}
}

// askLoads asks the replicas of all batch routes for their load.
func (p *partition) askLoads() {
	for _, service := range batchServices(p.service.routes.Table()) {
		for _, handle := range p.service.directory.View().Of(service) {
			p.service.ask(p.ctx, handle)
		}
	}
}
