package placement

import (
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

// event is an input of state.step.
type event interface{ isEvent() }

// action is an output of state.step.
type action interface{ isAction() }

// observation is what is known of one replica.
type observation struct {
	replica fleet.Replica
	// measuredAt is when its report was measured, on this node's clock.
	measuredAt time.Time
}

// serviceView is what is known of one service.
type serviceView struct {
	// orderer says that this node orders for the service.
	orderer  bool
	desired  desiredState
	replicas []observation
}

// Events.
type (
	// observed is the present state of all declared services.
	observed struct{ services map[string]serviceView }
	// fenceTaken is the result of a takeFence; token is 0 where it failed.
	fenceTaken struct {
		service  string
		token    uint64
		revision int64
	}
	// orderAnswered is the result of a sendOrder.
	orderAnswered struct {
		service string
		replica string
		order   engine.Order
		result  orderResult
	}
	// fetchReserved is the result of a reserveFetch.
	fetchReserved struct {
		service string
		replica string
		fetch   fetch
		granted bool
	}
)

// fetch names weights that a replica is to fetch.
type fetch struct{ name, version string }

// orderResult is how an engine answered an order.
type orderResult int

const (
	orderAccepted orderResult = iota
	// orderFenced: the engine has heard a later orderer.
	orderFenced
	// orderFailed: it may or may not have been carried out.
	orderFailed
)

// Actions.
type (
	// takeFence raises the service's fence token above atLeast.
	takeFence struct {
		service  string
		atLeast  uint64
		revision int64
	}
	// sendOrder gives an order to an engine.
	sendOrder struct {
		service string
		to      engine.Endpoint
		order   engine.Order
	}
	// reserveFetch asks the weight store for leave to fetch.
	reserveFetch struct {
		service string
		replica string
		fetch   fetch
	}
)

func (observed) isEvent()      {}
func (fenceTaken) isEvent()    {}
func (orderAnswered) isEvent() {}
func (fetchReserved) isEvent() {}

func (takeFence) isAction()    {}
func (sendOrder) isAction()    {}
func (reserveFetch) isAction() {}
