package routing

import "math/rand/v2"

// pickPowerOfTwo picks the cheaper one of two random candidates.
func pickPowerOfTwo(_ *Request, candidates []candidate) *candidate {
	if len(candidates) == 1 {
		return &candidates[0]
	}
	first := rand.IntN(len(candidates))
	second := rand.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if candidates[second].cost < candidates[first].cost {
		first = second
	}
	return &candidates[first]
}
