package routing

import "github.com/sloelift/sloelift/internal/fleet"

// notDraining drops replicas whose models are being changed.
func notDraining(_ *Request, replica *fleet.Replica) bool { return !replica.Draining() }
