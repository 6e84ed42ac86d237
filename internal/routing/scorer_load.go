package routing

import "time"

// loadCost is the delay that the work already on a replica adds: requests ahead in its queue and
// queued prompt tokens come first, and a fuller batch has slower steps. Online
// requests overtake batch in the engine, so batch counts only by BatchShare.
func loadCost(costs Costs) scorer {
	return func(_ *Request, c *candidate) time.Duration {
		if !c.replica.HasLoad {
			return costs.NoReport + time.Duration(float64(c.own)*float64(costs.Step)*costs.BusySteps)
		}
		report := &c.replica.Load
		step := time.Duration(report.StepMicros) * time.Microsecond
		if step <= 0 {
			step = costs.Step
		}
		own := int(float64(c.own) * costs.OwnWeight)
		online := max(0, report.Running-report.RunningBatch+own)
		running := float64(online) + costs.BatchShare*float64(report.RunningBatch)
		limit := max(1, report.MaxRunning)
		waiting := float64(max(0, report.Waiting-report.WaitingBatch) + max(0, online+1-limit))
		steps := costs.BusySteps*running/float64(limit) + costs.WaitingSteps*waiting
		return time.Duration(steps*float64(step)) + time.Duration(report.QueuedPrefill)*costs.PrefillToken
	}
}
