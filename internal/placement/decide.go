package placement

import (
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

// decide returns the next actions of the orderer for its view of the service.
func (s *serviceState) decide(now time.Time, options *Options) []action {
	if !s.view.orderer {
		s.fence = 0
		return nil
	}
	s.removeUnlisted()
	if s.settled() {
		return nil
	}
	if s.fence == 0 || s.fenceRevision < s.view.desired.revision {
		return s.acquireFence(now)
	}
	if claims, done := s.claimReplicas(now); !done {
		return claims
	}
	return s.rollOut(now, options)
}

// settled reports whether every replica that reports its load, and is not leaving, is in the desired state.
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

func (s *serviceState) acquireFence(now time.Time) []action {
	if s.acquiring || now.Before(s.retryAt) {
		return nil
	}
	s.acquiring = true
	var highest uint64
	for index := range s.view.replicas {
		highest = max(highest, s.view.replicas[index].replica.Load.FenceToken)
	}
	return []action{takeFence{service: s.name, atLeast: highest, revision: s.view.desired.revision}}
}

// claimReplicas sends each replica its current role again under the new fencing token, so that orders of earlier orderers are refused
// from then on. done is true once all replicas that report their load have accepted the claim.
func (s *serviceState) claimReplicas(now time.Time) (claims []action, done bool) {
	done = true
	for index := range s.view.replicas {
		replica := &s.view.replicas[index].replica
		tracked := s.stateOf(replica.ID)
		if replica.Leaving || !replica.HasLoad || tracked.claimed >= s.fence {
			continue
		}
		done = false
		if !tracked.pending && !now.Before(tracked.retryAt) {
			claims = append(claims, s.order(replica, engine.Order{Kind: engine.OrderSetRole, Role: replica.Load.Role}))
		}
	}
	return claims, done
}

func (s *serviceState) order(replica *fleet.Replica, order engine.Order) action {
	s.stateOf(replica.ID).pending = true
	order.Fence = s.fence
	return sendOrder{service: s.name, to: replica.Endpoint, order: order}
}

// rollOut returns the next step of each replica. Only reports measured after the answer to a replica's last order count, and no more than
// the allowed share of replicas is out of service at a time.
func (s *serviceState) rollOut(now time.Time, options *Options) []action {
	var actions []action
	budget := s.drainBudget(options)
	for index := range s.view.replicas {
		seen := &s.view.replicas[index]
		tracked := s.stateOf(seen.replica.ID)
		if seen.replica.Leaving || !seen.replica.HasLoad || tracked.pending || tracked.reserving || now.Before(tracked.retryAt) ||
			!seen.measuredAt.After(tracked.answeredAt) {
			continue
		}
		next, drains := s.nextStep(seen, tracked, budget > 0, options)
		if next == nil {
			continue
		}
		if drains {
			budget--
		}
		actions = append(actions, next)
	}
	return actions
}

// drainBudget returns how many more replicas may be taken out of service now.
func (s *serviceState) drainBudget(options *Options) int {
	total, unavailable := 0, 0
	for index := range s.view.replicas {
		seen := &s.view.replicas[index]
		if seen.replica.Leaving {
			continue
		}
		total++
		tracked := s.stateOf(seen.replica.ID)
		if !s.inService(seen) || tracked.pending || !seen.measuredAt.After(tracked.answeredAt) {
			unavailable++
		}
	}
	return max(1, total*options.SharePercent/100) - unavailable
}

// inService reports whether a replica serves every desired model, in any version.
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

// nextStep returns the one step that brings a replica closer to the desired state, or nil if it has to wait; drains reports whether the
// step takes the replica out of service.
func (s *serviceState) nextStep(seen *observation, tracked *replicaState, mayDrain bool, options *Options) (step action, drains bool) {
	replica := &seen.replica
	difference := gapOf(&s.view.desired, &replica.Load)
	blocked := len(difference.stale) > 0
	if blocked && !replica.Draining() && !mayDrain && s.otherInService(replica.ID) {
		return nil, false
	}
	for _, weights := range difference.fetches() {
		if !tracked.reserved[weights] {
			tracked.reserving = true
			return reserveFetch{service: s.name, replica: replica.ID, fetch: weights}, false
		}
	}
	switch {
	case difference.loading:
		return nil, false
	case blocked && !s.otherInService(replica.ID):
		return s.updateSoleReplica(replica, &difference), false
	case blocked && !replica.Draining():
		return s.order(replica, engine.Order{Kind: engine.OrderSetRole, Role: fleet.RoleDraining}), true
	case blocked:
		if !drained(seen, tracked, options) {
			return nil, false
		}
		return s.order(replica, difference.stale[0]), false
	case len(difference.missing) > 0 || difference.missingAdapter != nil:
		return s.order(replica, difference.loadOrder()), false
	case replica.Draining():
		return s.order(replica, engine.Order{Kind: engine.OrderSetRole}), false
	}
	return nil, false
}

// updateSoleReplica returns the next step that updates the only replica in service, or nil if it has to wait: the new version is loaded
// next to the old one, which is unloaded once no requests run or wait.
func (s *serviceState) updateSoleReplica(replica *fleet.Replica, difference *gap) action {
	switch {
	case len(difference.missing) > 0 || difference.missingAdapter != nil:
		return s.order(replica, difference.loadOrder())
	case replica.Draining():
		return s.order(replica, engine.Order{Kind: engine.OrderSetRole})
	case replica.Load.Running+replica.Load.Waiting == 0:
		return s.order(replica, difference.stale[0])
	}
	return nil
}

// otherInService reports whether a replica other than id is in service.
func (s *serviceState) otherInService(id string) bool {
	for index := range s.view.replicas {
		if seen := &s.view.replicas[index]; seen.replica.ID != id && s.inService(seen) {
			return true
		}
	}
	return false
}

// drained reports whether no requests run or wait, and none can arrive: SettleTime has passed since the order to drain, so that every
// gateway knows of it.
func drained(seen *observation, tracked *replicaState, options *Options) bool {
	return seen.measuredAt.Sub(tracked.drainedAt) >= options.SettleTime &&
		seen.replica.Load.Running+seen.replica.Load.Waiting == 0
}

// fetches lists the weights that have to be fetched.
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

// loadOrder returns the order that loads the first missing model, or else the missing adapter.
func (g *gap) loadOrder() engine.Order {
	if len(g.missing) > 0 {
		return engine.Order{Kind: engine.OrderLoadModel, Model: g.missing[0].name, Version: g.missing[0].version}
	}
	return *g.missingAdapter
}
