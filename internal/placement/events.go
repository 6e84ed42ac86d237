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

// observation is the observed state of one replica.
type observation struct {
	replica fleet.Replica
	// measuredAt is the time at which its load report was measured, by this node's clock.
	measuredAt time.Time
}

// serviceView is the observed state of one service.
type serviceView struct {
	// orderer is set if this node is the orderer of the service.
	orderer  bool
	desired  desiredState
	replicas []observation
}

// Events.
type (
	// observed is the current state of all declared services.
	observed struct{ services map[string]serviceView }
	// fenceTaken is the result of a takeFence; token is 0 if it failed.
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

// fetch identifies weights that a replica has to fetch.
type fetch struct{ name, version string }

// orderResult is how an engine answered an order.
type orderResult int

const (
	orderAccepted orderResult = iota
	// orderFenced: the engine has accepted a higher fencing token.
	orderFenced
	// orderFailed: the order may or may not have been executed.
	orderFailed
)

// Actions.
type (
	// takeFence takes a fencing token above atLeast for the service.
	takeFence struct {
		service  string
		atLeast  uint64
		revision int64
	}
	// sendOrder sends an order to an engine.
	sendOrder struct {
		service string
		to      engine.Endpoint
		order   engine.Order
	}
	// reserveFetch reserves a fetch at the weight store.
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
