package experiment

import (
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
	labengine "github.com/sloelift/sloelift/lab/engine"
	"github.com/sloelift/sloelift/lab/load"
)

// boundStep is the time step of the fluid model behind the bound.
const boundStep = 10 * time.Millisecond

// CapacityBound is an upper bound of the batch work that a perfect scheduler could run
// while work arrives. It assumes that online work runs first and immediately, that the
// engines' steps are always full, that every shared prompt prefix is computed once per
// replica for online work and once in total for batch work, and that batch work can run
// as soon as it arrives.
type CapacityBound struct {
	// Work is in engine-seconds, Tokens in answer tokens.
	Work   float64
	Tokens float64
}

// costModel holds the engine time per token in full steps, in seconds.
type costModel struct {
	perDecoded   float64
	perPrefilled float64
}

func newCostModel(options labengine.Options) costModel {
	full := options.StepBase + time.Duration(options.MaxRunning)*options.StepPerSequence
	return costModel{
		perDecoded:   full.Seconds() / float64(options.MaxRunning),
		perPrefilled: options.StepPerPrefillToken.Seconds(),
	}
}

func (c costModel) work(decoded, prefilled int) float64 {
	return float64(decoded)*c.perDecoded + float64(prefilled)*c.perPrefilled
}

// Bound computes the bound of a plan.
func Bound(plan load.Plan) CapacityBound {
	cost := newCostModel(labengine.DefaultOptions("", plan.Profile.StepBase))
	steps := int(plan.Duration / boundStep)
	online, batch, tokens := make([]float64, steps+1), make([]float64, steps+1), make([]float64, steps+1)
	seen := map[uint64]int{}
	for _, arrival := range plan.Online {
		online[arrival.At/boundStep] += cost.work(arrival.Expected().Tokens, newTokens(plan, arrival.Content, seen, plan.Profile.Replicas))
	}
	for _, job := range plan.Jobs {
		for _, item := range job.Items {
			batch[job.At/boundStep] += cost.work(item.Expected().Tokens, newTokens(plan, item.Content, seen, 1))
			tokens[job.At/boundStep] += float64(item.Expected().Tokens)
		}
	}
	return fluid(plan, online, batch, tokens)
}

// newTokens returns the number of prompt tokens to compute if every block is computed
// copies times and cached forever after.
func newTokens(plan load.Plan, content string, seen map[uint64]int, copies int) int {
	prompt := labengine.ChatPrompt(content)
	cached := 0
	for _, block := range modelengine.PrefixBlocks(plan.Profile.Model, "", prompt) {
		if seen[block] >= copies {
			cached++
		} else {
			seen[block]++
		}
	}
	return labengine.PromptTokens(prompt) - cached*modelengine.PrefixBlockBytes/4
}

// fluid gives each step's capacity to online work first and the rest to batch work.
func fluid(plan load.Plan, online, batch, tokens []float64) CapacityBound {
	capacity := boundStep.Seconds() * float64(plan.Profile.Replicas)
	var bound CapacityBound
	var onlineBacklog, batchBacklog, tokenBacklog float64
	for step := range online {
		onlineBacklog += online[step]
		batchBacklog += batch[step]
		tokenBacklog += tokens[step]
		served := min(onlineBacklog, capacity)
		onlineBacklog -= served
		run := min(batchBacklog, capacity-served)
		share := ratio(run, batchBacklog)
		bound.Work += run
		bound.Tokens += tokenBacklog * share
		tokenBacklog -= tokenBacklog * share
		batchBacklog -= run
	}
	return bound
}

// cacheResult compares the hit rates with those of a single cache that holds all earlier prompts.
func cacheResult(plan load.Plan, records map[string]labengine.RunRecord) CacheResult {
	var online, batch hitCount
	seen := map[uint64]int{}
	for _, arrival := range plan.Online {
		online.add(plan, arrival.Content, records[arrival.Marker], seen)
	}
	for _, job := range plan.Jobs {
		for _, item := range job.Items {
			batch.add(plan, item.Content, records[item.CustomID], seen)
		}
	}
	result := CacheResult{
		OnlineHitRate: online.rate(), OnlinePossible: online.possibleRate(),
		BatchHitRate: batch.rate(), BatchPossible: batch.possibleRate(),
	}
	result.OnlineOfPerfect = ratio(result.OnlineHitRate, result.OnlinePossible)
	result.BatchOfPerfect = ratio(result.BatchHitRate, result.BatchPossible)
	return result
}

type hitCount struct {
	prompt   int
	cached   int
	possible int
}

func (h *hitCount) add(plan load.Plan, content string, record labengine.RunRecord, seen map[uint64]int) {
	if record.PromptTokens == 0 {
		return
	}
	h.prompt += record.PromptTokens
	h.cached += record.CachedTokens
	h.possible += record.PromptTokens - newTokens(plan, content, seen, 1)
}

func (h *hitCount) rate() float64 { return ratio(float64(h.cached), float64(h.prompt)) }

func (h *hitCount) possibleRate() float64 { return ratio(float64(h.possible), float64(h.prompt)) }
