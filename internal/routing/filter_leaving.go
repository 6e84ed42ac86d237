package routing

import "github.com/sloelift/sloelift/internal/fleet"

// notLeaving drops replicas that any source reports as leaving.
func notLeaving(_ *Request, replica *fleet.Replica) bool { return !replica.Leaving }
