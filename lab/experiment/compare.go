package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Comparison holds the runs of several policies with the same arrivals for each seed.
type Comparison struct {
	Profile string   `json:"profile"`
	Seeds   []uint64 `json:"seeds"`
	// Runs holds one result per policy and seed.
	Runs []Result `json:"runs"`
	// Medians hold the median over the seeds for each policy.
	Medians []PolicySummary `json:"medians"`
}

// PolicySummary holds the medians of one policy over the seeds. Ratios to another policy are
// medians of the ratios for each seed, 0 if the other policy was not run.
type PolicySummary struct {
	Policy              Policy  `json:"policy"`
	FirstTokenP50       float64 `json:"first_token_p50_ms"`
	FirstTokenP95       float64 `json:"first_token_p95_ms"`
	FirstTokenP99       float64 `json:"first_token_p99_ms"`
	InterTokenP50       float64 `json:"inter_token_p50_ms"`
	InterTokenP95       float64 `json:"inter_token_p95_ms"`
	InterTokenP99       float64 `json:"inter_token_p99_ms"`
	ItemsPerSecond      float64 `json:"items_per_second"`
	TokensPerSecond     float64 `json:"tokens_per_second"`
	IdleCapacityUsed    float64 `json:"idle_capacity_used"`
	DecodedTwiceShare   float64 `json:"decoded_twice_share"`
	PrefilledTwiceShare float64 `json:"prefilled_twice_share"`
	OnlineOfPerfect     float64 `json:"online_hit_rate_of_perfect"`
	BatchOfPerfect      float64 `json:"batch_hit_rate_of_perfect"`
	UnmarkedP99         float64 `json:"unmarked_first_token_p99_ms"`
	MarkedP99           float64 `json:"marked_first_token_p99_ms"`
	EngineFirstP99      float64 `json:"engine_first_token_p99_ms"`
	EngineInterP99      float64 `json:"engine_inter_token_p99_ms"`
	EngineFirstToOnline float64 `json:"engine_first_token_p99_to_online_only"`
	EngineInterToOnline float64 `json:"engine_inter_token_p99_to_online_only"`
	TimerLatenessP99    float64 `json:"timer_lateness_p99_ms"`
	FirstTokenToOnline  float64 `json:"first_token_p99_to_online_only"`
	UnmarkedToOnline    float64 `json:"unmarked_first_token_p99_to_online_only"`
	MarkedToOnline      float64 `json:"marked_first_token_p99_to_online_only"`
	InterTokenToOnline  float64 `json:"inter_token_p99_to_online_only"`
	ItemsToFIFO         float64 `json:"items_per_second_to_fifo"`
	TokensToFIFO        float64 `json:"tokens_per_second_to_fifo"`
	Failed              int     `json:"failed_runs"`
}

// Compare runs the policies one after the other with the same arrivals for each seed, and
// passes each result to progress.
func Compare(ctx context.Context, base Options, seeds []uint64, policies []Policy, progress func(Result)) (Comparison, error) {
	comparison := Comparison{Profile: base.Profile.Name, Seeds: seeds}
	for _, seed := range seeds {
		for _, policy := range policies {
			options := base
			options.Seed, options.Policy = seed, policy
			result, err := Run(ctx, options)
			if err != nil {
				return comparison, fmt.Errorf("policy %s, seed %d: %w", policy, seed, err)
			}
			comparison.Runs = append(comparison.Runs, result)
			progress(result)
		}
	}
	for _, policy := range policies {
		comparison.Medians = append(comparison.Medians, comparison.summary(policy))
	}
	return comparison, nil
}

// Failed reports whether any run failed.
func (c Comparison) Failed() bool {
	return slices.ContainsFunc(c.Runs, func(run Result) bool { return run.Failed })
}

func (c Comparison) find(policy Policy, seed uint64) (Result, bool) {
	for _, run := range c.Runs {
		if run.Policy == policy && run.Seed == seed {
			return run, true
		}
	}
	return Result{}, false
}

func (c Comparison) summary(policy Policy) PolicySummary {
	medianOf := func(value func(Result) float64) float64 {
		var values []float64
		for _, seed := range c.Seeds {
			if run, found := c.find(policy, seed); found {
				values = append(values, value(run))
			}
		}
		return median(values)
	}
	medianRatioTo := func(other Policy, value func(Result) float64) float64 {
		var ratios []float64
		for _, seed := range c.Seeds {
			run, found := c.find(policy, seed)
			reference, present := c.find(other, seed)
			if found && present {
				ratios = append(ratios, ratio(value(run), value(reference)))
			}
		}
		return median(ratios)
	}
	firstP99 := func(r Result) float64 { return r.FirstToken.P99 }
	unmarkedP99 := func(r Result) float64 { return r.FirstTokenUnmarked.P99 }
	markedP99 := func(r Result) float64 { return r.FirstTokenMarked.P99 }
	engineFirst := func(r Result) float64 { return r.EngineFirstToken.P99 }
	engineInter := func(r Result) float64 { return r.EngineInterToken.P99 }
	interP99 := func(r Result) float64 { return r.InterToken.P99 }
	items := func(r Result) float64 { return r.Batch.ItemsPerSecond }
	tokens := func(r Result) float64 { return r.Batch.TokensPerSecond }
	summary := PolicySummary{
		Policy:              policy,
		FirstTokenP50:       medianOf(func(r Result) float64 { return r.FirstToken.P50 }),
		FirstTokenP95:       medianOf(func(r Result) float64 { return r.FirstToken.P95 }),
		FirstTokenP99:       medianOf(firstP99),
		InterTokenP50:       medianOf(func(r Result) float64 { return r.InterToken.P50 }),
		InterTokenP95:       medianOf(func(r Result) float64 { return r.InterToken.P95 }),
		InterTokenP99:       medianOf(interP99),
		ItemsPerSecond:      medianOf(items),
		TokensPerSecond:     medianOf(tokens),
		IdleCapacityUsed:    medianOf(func(r Result) float64 { return r.Batch.IdleCapacityUsed }),
		DecodedTwiceShare:   medianOf(func(r Result) float64 { return r.Batch.DecodedTwiceShare }),
		PrefilledTwiceShare: medianOf(func(r Result) float64 { return r.Batch.PrefilledTwiceShare }),
		OnlineOfPerfect:     medianOf(func(r Result) float64 { return r.Cache.OnlineOfPerfect }),
		BatchOfPerfect:      medianOf(func(r Result) float64 { return r.Cache.BatchOfPerfect }),
		EngineFirstP99:      medianOf(engineFirst),
		EngineInterP99:      medianOf(engineInter),
		EngineFirstToOnline: medianRatioTo(PolicyOnlineOnly, engineFirst),
		EngineInterToOnline: medianRatioTo(PolicyOnlineOnly, engineInter),
		TimerLatenessP99:    medianOf(func(r Result) float64 { return r.TimerLateness.P99 }),
		UnmarkedP99:         medianOf(unmarkedP99),
		MarkedP99:           medianOf(markedP99),
		FirstTokenToOnline:  medianRatioTo(PolicyOnlineOnly, firstP99),
		UnmarkedToOnline:    medianRatioTo(PolicyOnlineOnly, unmarkedP99),
		MarkedToOnline:      medianRatioTo(PolicyOnlineOnly, markedP99),
		InterTokenToOnline:  medianRatioTo(PolicyOnlineOnly, interP99),
		ItemsToFIFO:         medianRatioTo(PolicyFIFO, items),
		TokensToFIFO:        medianRatioTo(PolicyFIFO, tokens),
	}
	for _, run := range c.Runs {
		if run.Policy == policy && run.Failed {
			summary.Failed++
		}
	}
	return summary
}

// median returns the median of values, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Print writes the medians as a table with one column per policy.
func (c Comparison) Print(out io.Writer) error {
	fmt.Fprintf(out, "profile %s, seeds %v, medians\n", c.Profile, c.Seeds)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, cell func(PolicySummary) string) {
		fmt.Fprint(table, name)
		for _, summary := range c.Medians {
			fmt.Fprint(table, "\t", cell(summary))
		}
		fmt.Fprintln(table)
	}
	row("policy", func(s PolicySummary) string { return string(s.Policy) })
	row("first token p50/p95/p99 ms", func(s PolicySummary) string {
		return fmt.Sprintf("%.1f/%.1f/%.1f", s.FirstTokenP50, s.FirstTokenP95, s.FirstTokenP99)
	})
	row("  p99 to online-only", ratioCell(func(s PolicySummary) float64 { return s.FirstTokenToOnline }))
	row("  unmarked p99 to online-only", ratioCell(func(s PolicySummary) float64 { return s.UnmarkedToOnline }))
	row("  marked p99 to online-only", ratioCell(func(s PolicySummary) float64 { return s.MarkedToOnline }))
	row("  at engines p99 ms", func(s PolicySummary) string { return fmt.Sprintf("%.1f", s.EngineFirstP99) })
	row("  at engines p99 to online-only", ratioCell(func(s PolicySummary) float64 { return s.EngineFirstToOnline }))
	row("inter-token p50/p95/p99 ms", func(s PolicySummary) string {
		return fmt.Sprintf("%.2f/%.2f/%.2f", s.InterTokenP50, s.InterTokenP95, s.InterTokenP99)
	})
	row("  p99 to online-only", ratioCell(func(s PolicySummary) float64 { return s.InterTokenToOnline }))
	row("  at engines p99 ms", func(s PolicySummary) string { return fmt.Sprintf("%.2f", s.EngineInterP99) })
	row("  at engines p99 to online-only", ratioCell(func(s PolicySummary) float64 { return s.EngineInterToOnline }))
	row("batch items/s, tokens/s", func(s PolicySummary) string { return fmt.Sprintf("%.1f, %.0f", s.ItemsPerSecond, s.TokensPerSecond) })
	row("  tokens/s to fifo", ratioCell(func(s PolicySummary) float64 { return s.TokensToFIFO }))
	row("  idle capacity used", ratioCell(func(s PolicySummary) float64 { return s.IdleCapacityUsed }))
	row("  tokens twice decoded/prefilled", func(s PolicySummary) string {
		return fmt.Sprintf("%.2f%%/%.2f%%", 100*s.DecodedTwiceShare, 100*s.PrefilledTwiceShare)
	})
	row("prefix hits of perfect online/batch", func(s PolicySummary) string { return fmt.Sprintf("%.2f/%.2f", s.OnlineOfPerfect, s.BatchOfPerfect) })
	row("machine: timer late p99 ms", func(s PolicySummary) string { return fmt.Sprintf("%.1f", s.TimerLatenessP99) })
	row("failed runs", func(s PolicySummary) string { return fmt.Sprint(s.Failed) })
	return table.Flush()
}

func ratioCell(value func(PolicySummary) float64) func(PolicySummary) string {
	return func(s PolicySummary) string { return fmt.Sprintf("%.3f", value(s)) }
}
