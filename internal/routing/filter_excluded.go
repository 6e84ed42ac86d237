package routing

import "github.com/sloelift/sloelift/internal/fleet"

// notExcluded drops replicas that already failed the request.
func notExcluded(request *Request, replica *fleet.Replica) bool { return !request.Exclude[replica.ID] }
