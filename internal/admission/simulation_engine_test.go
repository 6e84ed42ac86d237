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
	batch       bool
	blocks      []uint64
	prefillLeft int
	tokensLeft  int
	decoded     bool
	cached      int
	// tokens gets the time of each token and is closed at the end.
	tokens chan time.Time
}

// simulatedEngine batches continuously, online first, with a prefix cache.
type simulatedEngine struct {
	id string
	// mutex guards all below.
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

// cancel takes a run out and returns how many tokens it still lacked.
func (e *simulatedEngine) cancel(run *simulatedRun) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	same := func(other *simulatedRun) bool { return other == run }
	e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
	return run.tokensLeft
}

func (e *simulatedEngine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		step := e.plan()
		if step == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(step)
		e.complete(time.Now())
	}
}

func (e *simulatedEngine) plan() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	online := func(a, b *simulatedRun) int { return cmp.Compare(kindOrder(a), kindOrder(b)) }
	slices.SortStableFunc(e.waiting, online)
	for len(e.running) < simulatedSlots && len(e.waiting) > 0 {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		for run.cached < len(run.blocks) && e.cache[run.blocks[run.cached]] {
			run.cached++
		}
		run.prefillLeft -= run.cached * blockTokens
		e.running = append(e.running, run)
	}
	slices.SortStableFunc(e.running, online)
	if len(e.running) == 0 {
		return 0
	}
	budget, decoding := prefillChunk, 0
	for _, run := range e.running {
		used := min(run.prefillLeft, budget)
		budget -= used
		run.prefillLeft -= used
		if run.decoded = run.prefillLeft == 0; run.decoded {
			decoding++
		}
	}
	e.lastStep = stepBase + time.Duration(decoding)*stepPerSequence + time.Duration(prefillChunk-budget)*stepPerPrefill
	return e.lastStep
}

func kindOrder(run *simulatedRun) int {
	if run.batch {
		return 1
	}
	return 0
}

func (e *simulatedEngine) complete(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running = slices.DeleteFunc(e.running, func(run *simulatedRun) bool {
		if !run.decoded {
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

// sample takes a load report; report gives one of simulatedLag ago.
func (e *simulatedEngine) sample(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		e.mutex.Lock()
		report := engine.LoadReport{
			Sequence: sequence, MeasuredAt: time.Now(), MaxRunning: simulatedSlots,
			Running: len(e.running), Waiting: len(e.waiting), StepMicros: e.lastStep.Microseconds(),
		}
		for _, run := range e.running {
			report.QueuedPrefill += run.prefillLeft
			report.RunningBatch += kindOrder(run)
		}
		for _, run := range e.waiting {
			report.WaitingBatch += kindOrder(run)
		}
		e.reports = append(e.reports, report)
		e.mutex.Unlock()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (e *simulatedEngine) report() engine.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for len(e.reports) > 1 && time.Since(e.reports[1].MeasuredAt) >= simulatedLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}
