package routing

import "time"

// distanceCost is the way to the replica and back.
func distanceCost(costs Costs, region, zone string) scorer {
	return func(_ *Request, c *candidate) time.Duration {
		switch {
		case c.replica.Zone == zone:
			return 0
		case c.replica.Region == region:
			return costs.OtherZone
		default:
			return costs.OtherRegion
		}
	}
}
