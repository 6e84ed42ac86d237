package experiment

import (
	"fmt"
	"time"

	labengine "github.com/sloelift/sloelift/lab/engine"
	"github.com/sloelift/sloelift/lab/histogram"
	"github.com/sloelift/sloelift/lab/load"
)

// Result is the result of one run. It is written as JSON.
type Result struct {
	Profile  string  `json:"profile"`
	Scenario string  `json:"scenario"`
	Policy   Policy  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// Failed is set if an invariant was violated or a fault could not be injected.
	Failed     bool                   `json:"failed"`
	Verdict    load.Verdict           `json:"verdict"`
	FirstToken histogram.Distribution `json:"online_first_token"`
	// FirstTokenMarked covers the marked requests of FirstToken, FirstTokenUnmarked the others.
	FirstTokenMarked   histogram.Distribution `json:"online_first_token_marked"`
	FirstTokenUnmarked histogram.Distribution `json:"online_first_token_unmarked"`
	InterToken         histogram.Distribution `json:"online_inter_token"`
	// EngineFirstToken and EngineInterToken are the token times of online runs in engine time, counted from
	// their dispatch. They show the cost of sharing engines without the delays of a busy machine.
	EngineFirstToken histogram.Distribution `json:"engine_first_token"`
	EngineInterToken histogram.Distribution `json:"engine_inter_token"`
	Batch            BatchResult            `json:"batch"`
	Cache            CacheResult            `json:"cache"`
	// StartedOnLeaving counts runs that were dispatched to a replica more than leavingGrace (2 s), plus the lag of the
	// machine list, after it was announced as leaving.
	StartedOnLeaving int      `json:"started_on_leaving"`
	FaultErrors      []string `json:"fault_errors,omitempty"`
	// Configuration is set if the scenario changes the configuration.
	Configuration *ConfigurationResult `json:"configuration,omitempty"`
	Load          LoadSummary          `json:"load"`
	Folder        string               `json:"folder,omitempty"`
	// TimerLateness shows how busy the machine was, by how late timers of 2 ms fired.
	TimerLateness histogram.Distribution `json:"timer_lateness"`
	Engines       EngineSummary          `json:"engines"`
}

// LoadSummary counts what arrived.
type LoadSummary struct {
	OnlineRequests int `json:"online_requests"`
	Jobs           int `json:"jobs"`
	Items          int `json:"items"`
}

// BatchResult holds the throughput of batch work while work arrived, from the engines'
// records.
type BatchResult struct {
	ItemsPerSecond  float64 `json:"items_per_second"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// IdleCapacityTokens is the number of batch tokens that a perfect scheduler could have produced, see Bound.
	IdleCapacityTokens float64 `json:"idle_capacity_tokens"`
	// IdleCapacityUsed is the share of IdleCapacityTokens that was produced, without tokens produced again.
	IdleCapacityUsed float64 `json:"idle_capacity_used"`
	// DecodedTwiceShare is the share of answer tokens that were computed again; PrefilledTwiceShare is the
	// number of prompt tokens that resumed runs computed again, as a share of all tokens computed.
	DecodedTwiceShare   float64 `json:"decoded_twice_share"`
	PrefilledTwiceShare float64 `json:"prefilled_twice_share"`
	Resumptions         int     `json:"resumptions"`
}

// CacheResult holds prefix hit rates from the engines' records: the share of prompt tokens
// that were cached at the first start. The Possible rates are those of a single cache that
// holds all earlier prompts; OfPerfect is the ratio of the two.
type CacheResult struct {
	OnlineHitRate   float64 `json:"online_hit_rate"`
	BatchHitRate    float64 `json:"batch_hit_rate"`
	OnlinePossible  float64 `json:"online_possible"`
	BatchPossible   float64 `json:"batch_possible"`
	OnlineOfPerfect float64 `json:"online_of_perfect"`
	BatchOfPerfect  float64 `json:"batch_of_perfect"`
}

// EngineSummary holds the engines' totals at the end of arrivals.
type EngineSummary struct {
	Totals labengine.Totals `json:"totals_at_end_of_arrivals"`
}

func summarize(options Options, plan load.Plan, seen load.Observations, records map[string]labengine.RunRecord, atEnd labengine.Totals) Result {
	verdict := load.Judge(seen, records, options.Scenario.expectations())
	seconds := options.Duration.Seconds()
	result := Result{
		Profile: plan.Profile.Name, Scenario: options.Scenario.Name, Policy: options.Policy, Seed: options.Seed, Seconds: seconds,
		Verdict: verdict, Failed: verdict.Failed(),
		FirstToken: seen.FirstToken, FirstTokenMarked: seen.FirstTokenMarked, FirstTokenUnmarked: seen.FirstTokenUnmarked,
		InterToken: seen.InterToken,
		Load:       LoadSummary{OnlineRequests: len(plan.Online), Jobs: len(plan.Jobs)},
		Engines:    EngineSummary{Totals: atEnd},
	}
	for _, job := range plan.Jobs {
		result.Load.Items += len(job.Items)
	}
	result.Batch = batchResult(plan, records, atEnd, seconds)
	result.Cache = cacheResult(plan, records)
	return result
}

func batchResult(plan load.Plan, records map[string]labengine.RunRecord, atEnd labengine.Totals, seconds float64) BatchResult {
	result := BatchResult{
		ItemsPerSecond:  float64(atEnd.BatchFinished) / seconds,
		TokensPerSecond: float64(atEnd.BatchDecoded) / seconds,
	}
	var decoded, decodedTwice, prefilled, prefilledTwice int
	for _, record := range records {
		if !record.Batch {
			continue
		}
		decoded += record.Decoded
		prefilled += record.Prefilled
		decodedTwice += max(record.Decoded-record.Furthest, 0)
		if record.Starts > 1 {
			result.Resumptions += record.Starts - 1
			prefilledTwice += max(record.Prefilled-(record.PromptTokens-record.CachedTokens), 0)
		}
	}
	result.IdleCapacityTokens = Bound(plan).Tokens
	result.IdleCapacityUsed = ratio(float64(atEnd.BatchDecoded)-float64(decodedTwice), result.IdleCapacityTokens)
	result.DecodedTwiceShare = ratio(float64(decodedTwice), float64(decoded))
	result.PrefilledTwiceShare = ratio(float64(prefilledTwice), float64(decoded+prefilled))
	return result
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// addFaults adds the errors and observations of the faults, and updates Failed.
func (r *Result) addFaults(faults *injector, records map[string]labengine.RunRecord, lag time.Duration) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	r.FaultErrors = faults.failures
	r.Configuration = faults.configuration
	for marker, record := range records {
		for _, start := range record.History {
			announced, leaving := faults.leaving[start.Replica]
			if leaving && start.Dispatched.After(announced.Add(lag+leavingGrace)) {
				r.StartedOnLeaving++
				if r.StartedOnLeaving == 1 {
					r.Verdict.Broken = append(r.Verdict.Broken, fmt.Sprintf("%s was dispatched to %s %v after it was announced as leaving",
						marker, start.Replica, start.Dispatched.Sub(announced).Round(time.Millisecond)))
				}
			}
		}
	}
	r.Failed = r.Verdict.Failed() || len(r.FaultErrors) > 0
}
