package routing

import "time"

// loadCost returns a scorer for the delay from the work already on a replica: waiting requests
// and queued prompt tokens are processed first, and steps are slower the more requests run.
// Engines prefer online requests, so running batch requests count by BatchShare only and waiting
// ones do not count.
func loadCost(costs Costs) scorer {
	return func(_ *Request, c *candidate) time.Duration {
		if !c.replica.HasLoad {
			return costs.NoReport + time.Duration(float64(c.unreported)*float64(costs.Step)*costs.BusySteps)
		}
		report := &c.replica.Load
		step := time.Duration(report.StepMicros) * time.Microsecond
		if step <= 0 {
			step = costs.Step
		}
		own := int(float64(c.unreported) * costs.OwnWeight)
		online := max(0, report.Running-report.RunningBatch+own)
		running := float64(online) + costs.BatchShare*float64(report.RunningBatch)
		limit := max(1, report.MaxRunning)
		waiting := float64(max(0, report.Waiting-report.WaitingBatch) + max(0, online+1-limit))
		steps := costs.BusySteps*running/float64(limit) + costs.WaitingSteps*waiting
		return time.Duration(steps*float64(step)) + time.Duration(report.QueuedPrefill)*costs.PrefillToken
	}
}
