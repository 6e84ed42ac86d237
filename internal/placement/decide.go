package placement

import (
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

// decide returns what the orderer does next, given what it sees.
func (s *serviceState) decide(now time.Time, options *Options) []action {
	if !s.view.orderer {
		s.fence = 0
		return nil
	}
	s.forget()
	if s.settled() {
		return nil
	}
	if s.fence == 0 || s.fenceRevision < s.view.desired.revision {
		return s.acquire(now)
	}
	if claims, done := s.claim(now); !done {
		return claims
	}
	return s.roll(now, options)
}

// settled says that every replica that reports its load is as desired.
func (s *serviceState) settled() bool {
	for index := range s.view.replicas {
		replica := &s.view.replicas[index].replica
		if replica.Leaving || !replica.HasLoad {
			continue
		}
		difference := gapOf(&s.view.desired, &replica.Load)
		if !difference.empty() || replica.Draining() {
			return false
		}
	}
	return true
}

func (s *serviceState) acquire(now time.Time) []action {
	if s.taking || now.Before(s.retryAt) {
		return nil
	}
	s.taking = true
	var highest uint64
	for index := range s.view.replicas {
		highest = max(highest, s.view.replicas[index].replica.Load.FenceToken)
	}
	return []action{takeFence{service: s.name, atLeast: highest, revision: s.view.desired.revision}}
}

// claim gives each replica its present role again under the own fence, so that an earlier
// orderer is refused from then on. done is true once all that report have taken it.
func (s *serviceState) claim(now time.Time) (claims []action, done bool) {
	done = true
	for index := range s.view.replicas {
		replica := &s.view.replicas[index].replica
		memory := s.memory(replica.ID)
		if replica.Leaving || !replica.HasLoad || memory.claimed >= s.fence {
			continue
		}
		done = false
		if !memory.pending && !now.Before(memory.retryAt) {
			claims = append(claims, s.order(replica, engine.Order{Kind: engine.OrderSetRole, Role: replica.Load.Role}))
		}
	}
	return claims, done
}

func (s *serviceState) order(replica *fleet.Replica, order engine.Order) action {
	s.memory(replica.ID).pending = true
	order.Fence = s.fence
	return sendOrder{service: s.name, to: replica.Endpoint, order: order}
}

// roll moves each replica one step on. Only reports measured after a replica's last order
// count, and no more than the allowed share is out of service at a time.
func (s *serviceState) roll(now time.Time, options *Options) []action {
	var actions []action
	room := s.room(options)
	for index := range s.view.replicas {
		seen := &s.view.replicas[index]
		memory := s.memory(seen.replica.ID)
		if seen.replica.Leaving || !seen.replica.HasLoad || memory.pending || memory.reserving || now.Before(memory.retryAt) ||
			!seen.measuredAt.After(memory.orderedAt) {
			continue
		}
		next, drains := s.next(seen, memory, room > 0, options)
		if next == nil {
			continue
		}
		if drains {
			room--
		}
		actions = append(actions, next)
	}
	return actions
}

// room is how many more replicas may go out of service now.
func (s *serviceState) room(options *Options) int {
	total, out := 0, 0
	for index := range s.view.replicas {
		seen := &s.view.replicas[index]
		if seen.replica.Leaving {
			continue
		}
		total++
		memory := s.memory(seen.replica.ID)
		if !s.inService(seen) || memory.pending || !seen.measuredAt.After(memory.orderedAt) {
			out++
		}
	}
	return max(1, total*options.SharePercent/100) - out
}

// inService says that a replica serves every desired model, in whatever version.
func (s *serviceState) inService(seen *observation) bool {
	replica := &seen.replica
	if replica.Leaving || replica.Failed || !replica.HasLoad || replica.Draining() {
		return false
	}
	for _, model := range s.view.desired.models {
		if !holdsAny(&replica.Load, model.name) {
			return false
		}
	}
	return true
}

// next returns the one step that brings a replica nearer to the desired state, or nil
// where it has to wait; drains says that the step takes it out of service.
func (s *serviceState) next(seen *observation, memory *replicaState, room bool, options *Options) (step action, drains bool) {
	replica := &seen.replica
	difference := gapOf(&s.view.desired, &replica.Load)
	blocked := len(difference.stale) > 0
	if blocked && !replica.Draining() && !room && s.othersServe(replica.ID) {
		return nil, false
	}
	for _, one := range difference.fetches() {
		if !memory.reserved[one] {
			memory.reserving = true
			return reserveFetch{service: s.name, replica: replica.ID, fetch: one}, false
		}
	}
	switch {
	case difference.loading:
		return nil, false
	case blocked && !s.othersServe(replica.ID):
		return s.changeAlone(replica, &difference), false
	case blocked && !replica.Draining():
		return s.order(replica, engine.Order{Kind: engine.OrderSetRole, Role: fleet.RoleDraining}), true
	case blocked:
		if !drained(seen, memory, options) {
			return nil, false
		}
		return s.order(replica, difference.stale[0]), false
	case len(difference.missing) > 0 || difference.missingAdapter != nil:
		return s.order(replica, difference.load()), false
	case replica.Draining():
		return s.order(replica, engine.Order{Kind: engine.OrderSetRole}), false
	}
	return nil, false
}

// changeAlone changes the only replica that serves: the new version is loaded beside the
// old one, which goes once nothing runs.
func (s *serviceState) changeAlone(replica *fleet.Replica, difference *gap) action {
	switch {
	case len(difference.missing) > 0 || difference.missingAdapter != nil:
		return s.order(replica, difference.load())
	case replica.Draining():
		return s.order(replica, engine.Order{Kind: engine.OrderSetRole})
	case replica.Load.Running+replica.Load.Waiting == 0:
		return s.order(replica, difference.stale[0])
	}
	return nil
}

// othersServe says whether another replica than id is in service.
func (s *serviceState) othersServe(id string) bool {
	for index := range s.view.replicas {
		if seen := &s.view.replicas[index]; seen.replica.ID != id && s.inService(seen) {
			return true
		}
	}
	return false
}

// drained says that nothing runs and, because no gateway can have missed the order any more,
// nothing will come.
func drained(seen *observation, memory *replicaState, options *Options) bool {
	return seen.measuredAt.Sub(memory.drainedAt) >= options.SettleTime &&
		seen.replica.Load.Running+seen.replica.Load.Waiting == 0
}

// fetches lists the weights that are still to be fetched.
func (g *gap) fetches() []fetch {
	var needed []fetch
	for _, model := range g.missing {
		needed = append(needed, fetch{model.name, model.version})
	}
	if g.missingAdapter != nil {
		needed = append(needed, fetch{g.missingAdapter.Adapter, g.missingAdapter.Version})
	}
	return needed
}

// load is the order for the first thing that is missing.
func (g *gap) load() engine.Order {
	if len(g.missing) > 0 {
		return engine.Order{Kind: engine.OrderLoadModel, Model: g.missing[0].name, Version: g.missing[0].version}
	}
	return *g.missingAdapter
}
