package routing

import "time"

// distanceCost returns a scorer for the network round trip to the replica.
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
