package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the result as a table.
func (r Result) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	v := r.Verdict
	row("profile", "%s, scenario %s, policy %s, seed %d, %.0f s", r.Profile, r.Scenario, r.Policy, r.Seed, r.Seconds)
	row("arrivals", "%d online requests, %d jobs with %d items", r.Load.OnlineRequests, r.Load.Jobs, r.Load.Items)
	row("accepted", "%d online, %d jobs, %d items", v.OnlineAccepted, v.JobsAccepted, v.ItemsAccepted)
	row("completed", "%d online, %d items", v.OnlineCompleted, v.ItemsCompleted)
	row("refused", "%d online, %d jobs", v.OnlineRefused, v.JobsRefused)
	row("cancelled", "%d jobs, %d items", v.JobsCancelled, v.ItemsCancelled)
	row("indeterminate", "%d online, %d items", v.OnlineIndeterminate, v.ItemsIndeterminate)
	row("lost", "%d", v.Lost)
	row("duplicated", "%d", v.Duplicated)
	row("answers cut / wrong", "%d / %d", v.AnswersCut, v.AnswersWrong+v.ItemsWrong)
	row("marked requests: most engine runs", "%d", v.MarkedRunsMax)
	row("dispatched after cancel", "%d", v.DispatchedAfterCancel)
	row("acknowledged and missing", "%d", v.AcknowledgedMissing)
	row("not_run that ran", "%d", v.NotRunButRan)
	row("streams sent again by callers", "%d", v.OnlineReconnects)
	row("started on a leaving replica", "%d", r.StartedOnLeaving)
	if c := r.Configuration; c != nil {
		row("configuration", "%d files accepted, slowest in force everywhere after %.1f s, %d late, %d reverts", c.Accepted, c.Slowest, c.Late, c.Reverts)
	}
	row("batch", "%.1f items/s, %.0f tokens/s, %.2f of idle capacity", r.Batch.ItemsPerSecond, r.Batch.TokensPerSecond, r.Batch.IdleCapacityUsed)
	row("batch tokens computed twice", "%.2f%% decoded, %.2f%% prefilled, %d resumptions",
		100*r.Batch.DecodedTwiceShare, 100*r.Batch.PrefilledTwiceShare, r.Batch.Resumptions)
	row("prefix hit rate", "online %.2f (%.2f of perfect), batch %.2f (%.2f of perfect)",
		r.Cache.OnlineHitRate, r.Cache.OnlineOfPerfect, r.Cache.BatchHitRate, r.Cache.BatchOfPerfect)
	row("online first token p50/p95/p99", "%.1f / %.1f / %.1f ms", r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99)
	row("  of marked requests", "%.1f / %.1f / %.1f ms", r.FirstTokenMarked.P50, r.FirstTokenMarked.P95, r.FirstTokenMarked.P99)
	row("  of unmarked requests", "%.1f / %.1f / %.1f ms", r.FirstTokenUnmarked.P50, r.FirstTokenUnmarked.P95, r.FirstTokenUnmarked.P99)
	row("online inter-token p50/p95/p99", "%.2f / %.2f / %.2f ms", r.InterToken.P50, r.InterToken.P95, r.InterToken.P99)
	row("  at engines: first token", "%.1f / %.1f / %.1f ms", r.EngineFirstToken.P50, r.EngineFirstToken.P95, r.EngineFirstToken.P99)
	row("  at engines: inter-token", "%.2f / %.2f / %.2f ms", r.EngineInterToken.P50, r.EngineInterToken.P95, r.EngineInterToken.P99)
	row("machine: timer late by p50/p95/p99", "%.2f / %.2f / %.2f ms", r.TimerLateness.P50, r.TimerLateness.P95, r.TimerLateness.P99)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, failure := range r.FaultErrors {
		fmt.Fprintf(out, "fault failed: %s\n", failure)
	}
	for _, broken := range v.Broken {
		fmt.Fprintf(out, "broken: %s\n", broken)
	}
	return nil
}
