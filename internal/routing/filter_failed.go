package routing

import "github.com/sloelift/sloelift/internal/fleet"

// notFailed drops replicas that own calls find unreachable.
func notFailed(_ *Request, replica *fleet.Replica) bool { return !replica.Failed }
