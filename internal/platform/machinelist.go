package platform

import (
	"context"
	"net/netip"
)

// MachineRole is what runs on a machine.
type MachineRole string

// Roles in the machine list.
const (
	RoleNode    MachineRole = "node"
	RoleReplica MachineRole = "replica"
)

// MachineState is the platform's view of a machine, which lags behind its actual state.
type MachineState string

// States in the machine list. A removed machine is not listed.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	// ID is unique among all machines ever listed.
	ID     string       `json:"id"`
	Role   MachineRole  `json:"role"`
	Region string       `json:"region"`
	Zone   string       `json:"zone"`
	State  MachineState `json:"state"`
	// Address is the engine's HTTP address for a replica and the peer transport's for a node.
	Address netip.AddrPort `json:"address"`
	// Service is the service to which a replica is assigned; empty for a node.
	Service string `json:"service,omitempty"`
}

// MachineListing is the complete list; Version increases with each change.
type MachineListing struct {
	Version  int64     `json:"version"`
	Machines []Machine `json:"machines"`
}

// MachineList is the port to the platform's lagging list of machines.
type MachineList interface {
	// List returns the current listing.
	List(ctx context.Context) (MachineListing, error)
}
