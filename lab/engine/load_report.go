package engine

import (
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

// minKeptSamples is the minimum number of samples in the load history: 5 s of samples, which is the longest possible lag.
const minKeptSamples = 256

// loadHistory holds past load reports, newest last.
type loadHistory struct {
	sequence uint64
	reports  []modelengine.LoadReport
}

func (h *loadHistory) add(report modelengine.LoadReport) {
	h.sequence++
	report.Sequence = h.sequence
	if len(h.reports) == 2*minKeptSamples {
		h.reports = append(h.reports[:0], h.reports[minKeptSamples:]...)
	}
	h.reports = append(h.reports, report)
}

// asOf returns the newest report that was measured at or before at.
func (h *loadHistory) asOf(at time.Time) (modelengine.LoadReport, bool) {
	for index := len(h.reports) - 1; index >= 0; index-- {
		if !h.reports[index].MeasuredAt.After(at) {
			return h.reports[index], true
		}
	}
	return modelengine.LoadReport{}, false
}

func (e *Engine) sampleLoop(ended <-chan struct{}) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		e.sample()
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

func (e *Engine) sample() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.history.add(e.measure(time.Now()))
}

// measure returns the current load. The caller holds mutex.
func (e *Engine) measure(now time.Time) modelengine.LoadReport {
	report := modelengine.LoadReport{
		MeasuredAt:  now,
		Running:     len(e.scheduler.running),
		Waiting:     len(e.scheduler.waiting),
		MaxRunning:  e.options.MaxRunning,
		CacheBlocks: e.options.CacheBlocks,
		CacheUsed:   len(e.cache.blocks),
		StepMicros:  e.lastStep.Microseconds(),
		Leaving:     e.leaving,
		Models:      append([]modelengine.LoadedModel(nil), e.models...),
		Role:        e.role,
		FenceToken:  e.fence,
	}
	for _, entry := range e.scheduler.running {
		report.QueuedPrefill += entry.prefillLeft
		if entry.batch {
			report.RunningBatch++
		}
	}
	for _, entry := range e.scheduler.waiting {
		report.QueuedPrefill += PromptTokens(entry.prompt)
		if entry.batch {
			report.WaitingBatch++
		}
	}
	return report
}
