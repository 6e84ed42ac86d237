package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/lab/histogram"
)

// Targets returns the callers' addresses of the nodes that are currently available.
type Targets func() []netip.AddrPort

// Runner plays a plan against nodes. It runs once.
type Runner struct {
	plan    Plan
	caller  *Caller
	targets Targets
	started time.Time

	firstToken         *histogram.Histogram
	firstTokenMarked   *histogram.Histogram
	firstTokenUnmarked *histogram.Histogram
	interToken         *histogram.Histogram

	// mutex guards online and jobs.
	mutex  sync.Mutex
	online []OnlineResult
	jobs   []JobOutcome
	wait   sync.WaitGroup
}

// NewRunner returns a runner for plan.
func NewRunner(plan Plan, targets Targets) *Runner {
	return &Runner{
		plan:               plan,
		caller:             NewCaller(TenantKey),
		targets:            targets,
		firstToken:         histogram.New(),
		firstTokenMarked:   histogram.New(),
		firstTokenUnmarked: histogram.New(),
		interToken:         histogram.New(),
	}
}

// Run plays all arrivals, waits for them to end and reads the results a second time. If ctx ends first, it reports
// unfinished work in its state at that time.
func (r *Runner) Run(ctx context.Context) Observations {
	defer r.caller.Close()
	r.started = time.Now()
	r.wait.Go(func() {
		for index, arrival := range r.plan.Online {
			if !sleepUntil(ctx, r.started.Add(arrival.At)) {
				return
			}
			r.wait.Go(func() { r.runOnline(ctx, index, arrival) })
		}
	})
	r.wait.Go(func() {
		for index, arrival := range r.plan.Jobs {
			if !sleepUntil(ctx, r.started.Add(arrival.At)) {
				return
			}
			r.wait.Go(func() { r.runJob(ctx, index, arrival) })
		}
	})
	r.wait.Wait()
	seen := r.observations()
	r.reread(ctx)
	return seen
}

// observations returns what callers saw. The result shares its slices with the runner, so that reread adds to it.
func (r *Runner) observations() Observations {
	return Observations{
		Started:            r.started,
		Online:             r.online,
		Jobs:               r.jobs,
		FirstToken:         r.firstToken.Distribution(),
		FirstTokenMarked:   r.firstTokenMarked.Distribution(),
		FirstTokenUnmarked: r.firstTokenUnmarked.Distribution(),
		InterToken:         r.interToken.Distribution(),
	}
}

// target picks a node for an attempt of an arrival. It returns false if no node is available.
func (r *Runner) target(index, attempt int) (netip.AddrPort, bool) {
	nodes := r.targets()
	if len(nodes) == 0 {
		return netip.AddrPort{}, false
	}
	return nodes[(index+attempt)%len(nodes)], true
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return pause.Sleep(ctx, time.Until(at))
}
