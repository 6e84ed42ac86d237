package engine

import (
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/lab/histogram"
)

// RunRecord describes what the engines did for one prompt. The marker is the prompt's
// last line, which the load generator makes unique, so that the record does not depend
// on the request ids of the system under test.
type RunRecord struct {
	Marker string
	// Starts counts runs, including resumed ones, that began to compute tokens.
	Starts int
	// FreshStarts counts runs that began at token 0 with a request id new to the engine.
	FreshStarts int
	// Finished counts runs that reached the end of the answer.
	Finished int
	Cancels  int
	// Decoded is the number of answer tokens computed in all runs; Furthest is the
	// highest offset reached in any run.
	Decoded  int
	Furthest int
	// Prefilled is the number of prompt tokens computed in all runs; PromptTokens is the
	// length of the prompt and CachedTokens the part that the first run found in the cache.
	Prefilled    int
	PromptTokens int
	CachedTokens int
	Batch        bool
	// ResumeMismatches counts resumed runs whose given text was not part of the correct answer.
	ResumeMismatches int
	// History holds the starts in order.
	History []Start
}

// Start describes the start of one run.
type Start struct {
	Replica   string
	RequestID string
	// Dispatched is the time at which the engine accepted the request, At that at which its first step began.
	Dispatched time.Time
	At         time.Time
	// Offset is the index of the first token that the run had to produce.
	Offset int
}

// LastStart returns the last start, or the zero value if there was none.
func (r RunRecord) LastStart() Start {
	if len(r.History) == 0 {
		return Start{}
	}
	return r.History[len(r.History)-1]
}

// Totals counts the tokens and runs computed by all engines.
type Totals struct {
	OnlineDecoded  int64 `json:"online_decoded"`
	OnlinePrefill  int64 `json:"online_prefill"`
	BatchDecoded   int64 `json:"batch_decoded"`
	BatchPrefill   int64 `json:"batch_prefill"`
	BatchFinished  int64 `json:"batch_finished"`
	OnlineFinished int64 `json:"online_finished"`
}

// RunLog records the runs of all engines of a deployment, independently of the system
// under test. It survives the kill of an engine. It is safe for concurrent use.
type RunLog struct {
	// OnlineFirstToken is the time from dispatch to the first token of online runs, OnlineInterToken
	// the time between their tokens. Both are in engine time, the sum of the durations of steps, so
	// that a busy machine does not add to them.
	OnlineFirstToken *histogram.Histogram
	OnlineInterToken *histogram.Histogram

	mutex   sync.Mutex
	records map[string]*RunRecord
	totals  Totals
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog {
	return &RunLog{
		OnlineFirstToken: histogram.New(),
		OnlineInterToken: histogram.New(),
		records:          map[string]*RunRecord{},
	}
}

// Marker returns the last line of a prompt.
func Marker(prompt string) string {
	trimmed := strings.TrimRight(prompt, "\n")
	return trimmed[strings.LastIndexByte(trimmed, '\n')+1:]
}

func (l *RunLog) record(marker string) *RunRecord {
	found := l.records[marker]
	if found == nil {
		found = &RunRecord{Marker: marker}
		l.records[marker] = found
	}
	return found
}

// started records the first step of a run.
func (l *RunLog) started(run *run, replica string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.record(run.marker)
	record.Starts++
	if run.startOffset == 0 && !run.revived {
		record.FreshStarts++
	}
	if len(record.History) == 0 {
		record.PromptTokens = PromptTokens(run.prompt)
		record.CachedTokens = run.cachedTokens
		record.Batch = run.batch
	}
	record.History = append(record.History, Start{
		Replica: replica, RequestID: run.id, Dispatched: run.dispatched, At: at, Offset: run.startOffset,
	})
}

// ended records what a run computed, when it finishes, is cancelled or dies with its engine.
func (l *RunLog) ended(run *run, finished, cancelled bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.record(run.marker)
	record.Decoded += run.decoded
	record.Prefilled += run.prefilled
	record.Furthest = max(record.Furthest, run.produced)
	if finished {
		record.Finished++
		if run.batch {
			l.totals.BatchFinished++
		} else {
			l.totals.OnlineFinished++
		}
	}
	if cancelled {
		record.Cancels++
	}
	run.decoded, run.prefilled = 0, 0
}

// computed adds the tokens of one step to the totals.
func (l *RunLog) computed(step Totals) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.totals.OnlineDecoded += step.OnlineDecoded
	l.totals.OnlinePrefill += step.OnlinePrefill
	l.totals.BatchDecoded += step.BatchDecoded
	l.totals.BatchPrefill += step.BatchPrefill
}

// Totals returns the totals so far.
func (l *RunLog) Totals() Totals {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.totals
}

func (l *RunLog) resumeMismatch(marker string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.record(marker).ResumeMismatches++
}

// Records returns a copy of all records by marker.
func (l *RunLog) Records() map[string]RunRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	records := make(map[string]RunRecord, len(l.records))
	for marker, record := range l.records {
		records[marker] = *record
	}
	return records
}
