package routing

import "github.com/sloelift/sloelift/internal/fleet"

// notDraining drops replicas that are draining for a change of their models.
func notDraining(_ *Request, replica *fleet.Replica) bool { return !replica.Draining() }
