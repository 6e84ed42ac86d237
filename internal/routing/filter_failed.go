package routing

import "github.com/sloelift/sloelift/internal/fleet"

// notFailed drops replicas that this node's calls found unreachable.
func notFailed(_ *Request, replica *fleet.Replica) bool { return !replica.Failed }
