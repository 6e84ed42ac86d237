package platform

import (
	"context"

	port "github.com/sloelift/sloelift/internal/platform"
)

// enterRead judges a call without effect: a missing answer is KindUnavailable.
func (s *Server) enterRead(ctx context.Context, zone string, service Service, operation Operation) error {
	_, err := s.enter(ctx, zone, service, operation)
	if err != nil && isDropped(err) {
		return errReadDropped.Wrap(err, "no answer")
	}
	return err
}

// errReadDropped is a missing answer to a call without effect.
var errReadDropped = port.KindUnavailable.NewSubtype("dropped")

// machineClient is the machine list as the callers of one zone see it, without a network.
type machineClient struct {
	server *Server
	zone   string
}

// List returns the listing that shows after the lag.
func (c *machineClient) List(ctx context.Context) (port.MachineListing, error) {
	if err := c.server.enterRead(ctx, c.zone, MachineList, OperationMachines); err != nil {
		return port.MachineListing{}, err
	}
	return c.server.machines.list(), nil
}

// weightClient is the weight store as the callers of one zone see it, without a network.
type weightClient struct {
	server *Server
	zone   string
}

// Describe returns one version.
func (c *weightClient) Describe(ctx context.Context, name, version string) (port.Weights, error) {
	if err := c.server.enterRead(ctx, c.zone, WeightStore, OperationDescribe); err != nil {
		return port.Weights{}, err
	}
	return c.server.weights.describe(name, version)
}

// ReserveFetch takes one fetch off the rate.
func (c *weightClient) ReserveFetch(ctx context.Context, name, version, _ string) error {
	if err := c.server.enterRead(ctx, c.zone, WeightStore, OperationReserve); err != nil {
		return err
	}
	return c.server.weights.reserve(name, version)
}
