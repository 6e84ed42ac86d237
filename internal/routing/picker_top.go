package routing

import (
	"math/rand/v2"
	"time"
)

// picker takes one of at least one candidates with their costs.
type picker func(request *Request, candidates []candidate) *candidate

// pickTop takes the cheapest candidate. Among those within tie of it, it takes the one that
// all nodes prefer for the beginning of the prompt, or one at random for a prompt without one.
func pickTop(tie time.Duration, affinity bool) picker {
	return func(request *Request, candidates []candidate) *candidate {
		least := candidates[0].cost
		for index := range candidates {
			least = min(least, candidates[index].cost)
		}
		prefix := request.PrefixID()
		var chosen *candidate
		var highest uint64
		for index := range candidates {
			if candidates[index].cost > least+tie {
				continue
			}
			order := rand.Uint64()
			if affinity && prefix != 0 {
				order = Affinity(prefix, candidates[index].replica.ID)
			}
			if chosen == nil || order > highest {
				chosen, highest = &candidates[index], order
			}
		}
		return chosen
	}
}
