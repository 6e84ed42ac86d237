package routing

import "time"

// prefixCost returns a scorer for the time to compute the prompt blocks that are not cached on the
// replica.
func prefixCost(costs Costs) scorer {
	return func(request *Request, c *candidate) time.Duration {
		cached := float64(c.expectedBlocks) * c.confidence
		return time.Duration((float64(len(request.PrefixBlocks)) - cached) * float64(costs.PrefillBlock))
	}
}
