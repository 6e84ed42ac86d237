package engine

import (
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/lab/histogram"
)

// RunRecord is what engines truly did for one prompt. The marker is the prompt's last
// line, which the load makes unique, so that the record does not depend on request ids
// of the system under test.
type RunRecord struct {
	Marker string
	// Starts counts runs that computed at least one token of prompt or answer, resumptions among them.
	Starts int
	// FreshStarts counts runs that began at token 0 under a request id new to the engine.
	FreshStarts int
	// Finished counts runs that reached the answer's end.
	Finished int
	Cancels  int
	// Decoded is the number of answer tokens computed, over all runs; Furthest is the
	// highest offset reached by any.
	Decoded  int
	Furthest int
	// Prefilled is the number of prompt tokens computed, over all runs; PromptTokens is
	// the prompt's length and CachedTokens what the first run found in the cache.
	Prefilled    int
	PromptTokens int
	CachedTokens int
	Batch        bool
	// ResumeMismatches counts resumptions whose text so far was not the right answer's.
	ResumeMismatches int
	// History lists the starts in order.
	History []Start
}

// Start is one run's first step.
type Start struct {
	Replica   string
	RequestID string
	// Dispatched is when the engine took the request, At when its first step began.
	Dispatched time.Time
	At         time.Time
	// Offset is the token that the run went on with.
	Offset int
}

// LastStart returns the last start; the zero value where there was none.
func (r RunRecord) LastStart() Start {
	if len(r.History) == 0 {
		return Start{}
	}
	return r.History[len(r.History)-1]
}

// Totals count what all engines computed so far.
type Totals struct {
	OnlineDecoded  int64 `json:"online_decoded"`
	OnlinePrefill  int64 `json:"online_prefill"`
	BatchDecoded   int64 `json:"batch_decoded"`
	BatchPrefill   int64 `json:"batch_prefill"`
	BatchFinished  int64 `json:"batch_finished"`
	OnlineFinished int64 `json:"online_finished"`
}

// RunLog is the record of all engines of a deployment. It is the lab's own evidence
// and is not lost when an engine is killed. It is safe for concurrent use.
type RunLog struct {
	// OnlineFirstToken is the time from dispatch to the first token of online runs, OnlineInterToken
	// that between their tokens, both in engine time, the sum of the steps' durations: what a busy
	// machine adds is not in them.
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

// started notes that a run got its first step.
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
	record.History = append(record.History, Start{Replica: replica, RequestID: run.id, Dispatched: run.dispatched, At: at, Offset: run.startOffset})
}

// ended notes what a run computed when it finished, was cancelled or died.
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

// computed adds what one step computed.
func (l *RunLog) computed(step Totals) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.totals.OnlineDecoded += step.OnlineDecoded
	l.totals.OnlinePrefill += step.OnlinePrefill
	l.totals.BatchDecoded += step.BatchDecoded
	l.totals.BatchPrefill += step.BatchPrefill
}

// Totals returns the sums so far.
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
