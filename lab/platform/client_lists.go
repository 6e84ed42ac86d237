package platform

import (
	"context"

	port "github.com/sloelift/sloelift/internal/platform"
)

// enterRead is enter for calls without side effects: a missing response is KindUnavailable, since no outcome is unknown.
func (s *Server) enterRead(ctx context.Context, zone string, service Service, operation Operation) error {
	_, err := s.enter(ctx, zone, service, operation)
	if err != nil && isDropped(err) {
		return errReadDropped.Wrap(err, "no answer")
	}
	return err
}

// errReadDropped means that the caller gets no response to a call without side effects.
var errReadDropped = port.KindUnavailable.NewSubtype("dropped")

// machineClient is the in-process machine list for the callers of one zone.
type machineClient struct {
	server *Server
	zone   string
}

// List returns the listing that is visible at the machine list's lag.
func (c *machineClient) List(ctx context.Context) (port.MachineListing, error) {
	if err := c.server.enterRead(ctx, c.zone, MachineList, OperationMachines); err != nil {
		return port.MachineListing{}, err
	}
	return c.server.machines.list(), nil
}

// weightClient is the in-process weight store for the callers of one zone.
type weightClient struct {
	server *Server
	zone   string
}

// Describe returns the description of one version of weights.
func (c *weightClient) Describe(ctx context.Context, name, version string) (port.Weights, error) {
	if err := c.server.enterRead(ctx, c.zone, WeightStore, OperationDescribe); err != nil {
		return port.Weights{}, err
	}
	return c.server.weights.describe(name, version)
}

// ReserveFetch takes one fetch from the rate limit.
func (c *weightClient) ReserveFetch(ctx context.Context, name, version, _ string) error {
	if err := c.server.enterRead(ctx, c.zone, WeightStore, OperationReserve); err != nil {
		return err
	}
	return c.server.weights.reserve(name, version)
}
