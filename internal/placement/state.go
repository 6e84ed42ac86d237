package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
)

// state is the control state of placement. It is not safe for concurrent use.
type state struct {
	options  Options
	services map[string]*serviceState
}

// serviceState is the state of one service at its orderer. Invariant: until every replica that reports its load has accepted the claim of
// the current fencing token, only claims are sent.
type serviceState struct {
	name string
	view serviceView
	// fence is the fencing token that this node holds; 0 if it holds none.
	fence uint64
	// fenceRevision is the configuration revision for which the token was taken.
	fenceRevision int64
	acquiring     bool
	retryAt       time.Time
	replicas      map[string]*replicaState
}

// replicaState is the state that the orderer keeps of one replica.
type replicaState struct {
	// claimed is the highest fencing token of an order that the engine has accepted.
	claimed uint64
	// pending is set while an order is in flight, reserving while a reservation is.
	pending   bool
	reserving bool
	// answeredAt is when the last order was answered; only reports measured later count.
	answeredAt time.Time
	// drainedAt is when the last role was accepted: the order to drain, or the claim of a draining replica.
	drainedAt time.Time
	retryAt   time.Time
	reserved  map[fetch]bool
}

func newState(options Options) *state {
	return &state{options: options, services: make(map[string]*serviceState)}
}

// step handles one event at the given time and returns the actions that follow.
func (s *state) step(now time.Time, input event) []action {
	switch typed := input.(type) {
	case observed:
		return s.onObserved(now, typed)
	case fenceTaken:
		if service := s.services[typed.service]; service != nil {
			service.onFence(now, typed, &s.options)
		}
	case orderAnswered:
		if service := s.services[typed.service]; service != nil {
			service.onAnswer(now, typed, &s.options)
		}
	case fetchReserved:
		if service := s.services[typed.service]; service != nil {
			service.onReserved(now, typed, &s.options)
		}
	}
	return nil
}

func (s *state) onObserved(now time.Time, input observed) []action {
	var actions []action
	for name := range s.services {
		if _, declared := input.services[name]; !declared {
			delete(s.services, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(input.services)) {
		service := s.services[name]
		if service == nil {
			service = &serviceState{name: name, replicas: make(map[string]*replicaState)}
			s.services[name] = service
		}
		service.view = input.services[name]
		actions = append(actions, service.decide(now, &s.options)...)
	}
	return actions
}

func (s *serviceState) onFence(now time.Time, taken fenceTaken, options *Options) {
	s.acquiring = false
	s.fence, s.fenceRevision = taken.token, taken.revision
	if taken.token == 0 {
		s.retryAt = now.Add(options.RetryInterval)
	}
}

func (s *serviceState) onAnswer(now time.Time, answer orderAnswered, options *Options) {
	replica := s.stateOf(answer.replica)
	replica.pending = false
	replica.answeredAt = now
	switch answer.result {
	case orderFenced:
		if answer.order.Fence == s.fence {
			s.fence = 0
			s.retryAt = now.Add(options.FencedPause)
		}
	case orderFailed:
		replica.retryAt = now.Add(options.RetryInterval)
	case orderAccepted:
		replica.claimed = max(replica.claimed, answer.order.Fence)
		switch answer.order.Kind {
		case engine.OrderSetRole:
			replica.drainedAt = now
		case engine.OrderLoadModel:
			delete(replica.reserved, fetch{answer.order.Model, answer.order.Version})
		case engine.OrderLoadAdapter:
			delete(replica.reserved, fetch{answer.order.Adapter, answer.order.Version})
		}
	}
}

func (s *serviceState) onReserved(now time.Time, reserved fetchReserved, options *Options) {
	replica := s.stateOf(reserved.replica)
	replica.reserving = false
	if reserved.granted {
		replica.reserved[reserved.fetch] = true
	} else {
		replica.retryAt = now.Add(options.RetryInterval)
	}
}

func (s *serviceState) stateOf(id string) *replicaState {
	known := s.replicas[id]
	if known == nil {
		known = &replicaState{reserved: make(map[fetch]bool)}
		s.replicas[id] = known
	}
	return known
}

// removeUnlisted removes the state of replicas that are no longer listed.
func (s *serviceState) removeUnlisted() {
	listed := make(map[string]bool, len(s.view.replicas))
	for _, present := range s.view.replicas {
		listed[present.replica.ID] = true
	}
	for id := range s.replicas {
		if !listed[id] {
			delete(s.replicas, id)
		}
	}
}
