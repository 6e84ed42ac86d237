package routing

import (
	"math/rand/v2"
	"time"
)

// picker picks one of the scored candidates, of which there is at least one.
type picker func(request *Request, candidates []candidate) *candidate

// pickTop returns a picker that chooses among the candidates within tie of the lowest cost: the
// one with the highest Affinity to the prompt prefix, which is the same on all nodes, or a
// random one if the prompt has no prefix or affinity is off.
func pickTop(tie time.Duration, affinity bool) picker {
	return func(request *Request, candidates []candidate) *candidate {
		lowest := candidates[0].cost
		for index := range candidates {
			lowest = min(lowest, candidates[index].cost)
		}
		prefix := request.PrefixID()
		var chosen *candidate
		var highestOrder uint64
		for index := range candidates {
			if candidates[index].cost > lowest+tie {
				continue
			}
			order := rand.Uint64()
			if affinity && prefix != 0 {
				order = Affinity(prefix, candidates[index].replica.ID)
			}
			if chosen == nil || order > highestOrder {
				chosen, highestOrder = &candidates[index], order
			}
		}
		return chosen
	}
}
