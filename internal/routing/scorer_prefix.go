package routing

import "time"

// prefixCost is the time to compute the blocks of the prompt that are not cached there.
func prefixCost(costs Costs) scorer {
	return func(request *Request, c *candidate) time.Duration {
		cached := float64(c.expectedBlocks) * c.confidence
		return time.Duration((float64(len(request.PrefixBlocks)) - cached) * float64(costs.PrefillBlock))
	}
}
