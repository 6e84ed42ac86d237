package engine

import (
	"cmp"
	"slices"
	"time"
)

// scheduler decides what each step computes. It has no clock and is guarded by the engine's mutex.
type scheduler struct {
	options *Options
	running []*run
	// waiting is sorted by descending priority, then by arrival.
	waiting []*run
}

func compareRuns(a, b *run) int {
	if order := cmp.Compare(b.priority, a.priority); order != 0 {
		return order
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// enqueue adds a run to the queue according to its priority.
func (s *scheduler) enqueue(entry *run) {
	entry.state = stateQueued
	at, _ := slices.BinarySearchFunc(s.waiting, entry, compareRuns)
	s.waiting = slices.Insert(s.waiting, at, entry)
}

// remove removes a run from the queue or the batch.
func (s *scheduler) remove(entry *run) {
	s.waiting = slices.DeleteFunc(s.waiting, func(other *run) bool { return other == entry })
	s.running = slices.DeleteFunc(s.running, func(other *run) bool { return other == entry })
}

// admit moves waiting runs into free places of the batch and returns them.
func (s *scheduler) admit() []*run {
	free := min(s.options.MaxRunning-len(s.running), len(s.waiting))
	if free <= 0 {
		return nil
	}
	admitted := slices.Clone(s.waiting[:free])
	s.waiting = slices.Delete(s.waiting, 0, free)
	for _, entry := range admitted {
		entry.state = stateRunning
	}
	s.running = append(s.running, admitted...)
	slices.SortFunc(s.running, compareRuns)
	return admitted
}

// plan sets what each running sequence computes in the next step and returns the step's
// duration, or 0 if there is nothing to do.
func (s *scheduler) plan() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	budget, decoding, prefilling := s.options.PrefillChunk, 0, 0
	for _, entry := range s.running {
		entry.prefilling = min(entry.prefillLeft, budget)
		budget -= entry.prefilling
		prefilling += entry.prefilling
		entry.decoding = entry.prefilling == entry.prefillLeft
		if entry.decoding {
			decoding++
		}
	}
	return s.options.StepBase +
		time.Duration(decoding)*s.options.StepPerSequence +
		time.Duration(prefilling)*s.options.StepPerPrefillToken
}

// planned returns the tokens that the planned step computes.
func (s *scheduler) planned() Totals {
	var step Totals
	for _, entry := range s.running {
		decoded := int64(0)
		if entry.decoding {
			decoded = 1
		}
		if entry.batch {
			step.BatchDecoded += decoded
			step.BatchPrefill += int64(entry.prefilling)
		} else {
			step.OnlineDecoded += decoded
			step.OnlinePrefill += int64(entry.prefilling)
		}
	}
	return step
}

// noteTimes records the token times of the online runs in the planned step; clock is the
// engine time at the end of the step.
func (s *scheduler) noteTimes(log *RunLog, clock time.Duration) {
	for _, entry := range s.running {
		if entry.batch || !entry.decoding {
			continue
		}
		if entry.hasToken {
			log.OnlineInterToken.Record(clock - entry.lastProgress)
		} else {
			log.OnlineFirstToken.Record(clock - entry.lastProgress)
		}
		entry.lastProgress, entry.hasToken = clock, true
	}
}

// complete applies the planned step and returns the runs that reached the end of their answers.
func (s *scheduler) complete() []*run {
	var finished []*run
	for _, entry := range s.running {
		entry.prefillLeft -= entry.prefilling
		entry.prefilled += entry.prefilling
		entry.prefilling = 0
		if !entry.decoding {
			continue
		}
		entry.decoding = false
		entry.produced++
		entry.decoded++
		if entry.produced >= entry.answer.Tokens {
			finished = append(finished, entry)
		}
	}
	for _, entry := range finished {
		s.remove(entry)
		entry.state = stateFinished
	}
	return finished
}
