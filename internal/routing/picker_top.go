package routing

import (
	"math/rand/v2"
	"time"
)

// picker takes one of at least one candidates with their costs.
type picker func(candidates []candidate) *candidate

// pickTop takes the cheapest candidate, at random among those within tie of it.
func pickTop(tie time.Duration) picker {
	return func(candidates []candidate) *candidate {
		least := candidates[0].cost
		for index := range candidates {
			least = min(least, candidates[index].cost)
		}
		var chosen *candidate
		equal := 0
		for index := range candidates {
			if candidates[index].cost > least+tie {
				continue
			}
			equal++
			if rand.IntN(equal) == 0 {
				chosen = &candidates[index]
			}
		}
		return chosen
	}
}
