package admission

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
)

// simulatedRun is one request on a simulatedEngine.
type simulatedRun struct {
	batch  bool
	blocks []uint64
	// prefillLeft and tokensLeft count the prompt and output tokens still to be computed.
	prefillLeft  int
	tokensLeft   int
	decoding     bool
	cachedBlocks int
	// tokens receives the time of each output token and is closed after the last.
	tokens chan time.Time
}

// simulatedEngine models an engine with continuous batching, priority for online requests, and
// a prefix cache.
type simulatedEngine struct {
	id string
	// mutex guards the fields below.
	mutex    sync.Mutex
	wake     chan struct{}
	running  []*simulatedRun
	waiting  []*simulatedRun
	cache    map[uint64]bool
	reports  []engine.LoadReport
	lastStep time.Duration
}

func (e *simulatedEngine) start(run *simulatedRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run.tokens = make(chan time.Time, run.tokensLeft+1)
	e.waiting = append(e.waiting, run)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancel removes a run and returns the number of output tokens that it had not produced.
func (e *simulatedEngine) cancel(run *simulatedRun) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	same := func(other *simulatedRun) bool { return other == run }
	e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
	return run.tokensLeft
}

func (e *simulatedEngine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		step := e.planStep()
		if step == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(step)
		e.completeStep(time.Now())
	}
}

// planStep starts waiting runs in free slots, distributes prefill to the running ones, and returns
// the duration of the next step, 0 if nothing runs.
func (e *simulatedEngine) planStep() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	onlineFirst := func(a, b *simulatedRun) int { return cmp.Compare(batchCount(a), batchCount(b)) }
	slices.SortStableFunc(e.waiting, onlineFirst)
	for len(e.running) < simulatedSlots && len(e.waiting) > 0 {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		for run.cachedBlocks < len(run.blocks) && e.cache[run.blocks[run.cachedBlocks]] {
			run.cachedBlocks++
		}
		run.prefillLeft -= run.cachedBlocks * blockTokens
		e.running = append(e.running, run)
	}
	slices.SortStableFunc(e.running, onlineFirst)
	if len(e.running) == 0 {
		return 0
	}
	budget, decoding := prefillChunk, 0
	for _, run := range e.running {
		used := min(run.prefillLeft, budget)
		budget -= used
		run.prefillLeft -= used
		if run.decoding = run.prefillLeft == 0; run.decoding {
			decoding++
		}
	}
	e.lastStep = stepBase + time.Duration(decoding)*stepPerSequence + time.Duration(prefillChunk-budget)*stepPerPrefill
	return e.lastStep
}

// batchCount is 1 for a batch run and 0 for an online one; it also sorts online runs first.
func batchCount(run *simulatedRun) int {
	if run.batch {
		return 1
	}
	return 0
}

// completeStep emits a token for each decoding run and removes the finished ones.
func (e *simulatedEngine) completeStep(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running = slices.DeleteFunc(e.running, func(run *simulatedRun) bool {
		if !run.decoding {
			return false
		}
		for _, block := range run.blocks {
			e.cache[block] = true
		}
		run.tokens <- now
		run.tokensLeft--
		if run.tokensLeft > 0 {
			return false
		}
		close(run.tokens)
		return true
	})
}

// sampleReports takes a load report every 20 ms until ctx ends.
func (e *simulatedEngine) sampleReports(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		e.mutex.Lock()
		report := engine.LoadReport{
			Sequence: sequence, MeasuredAt: time.Now(), MaxRunning: simulatedSlots,
			Running: len(e.running), Waiting: len(e.waiting), StepMicros: e.lastStep.Microseconds(),
		}
		for _, run := range e.running {
			report.QueuedPrefill += run.prefillLeft
			report.RunningBatch += batchCount(run)
		}
		for _, run := range e.waiting {
			report.WaitingBatch += batchCount(run)
		}
		e.reports = append(e.reports, report)
		e.mutex.Unlock()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// report returns the newest load report that is at least simulatedLag old, or the first one.
func (e *simulatedEngine) report() engine.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for len(e.reports) > 1 && time.Since(e.reports[1].MeasuredAt) >= simulatedLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}
