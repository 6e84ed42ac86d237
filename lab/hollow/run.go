package hollow

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	startLimit = 2 * time.Minute
	settleTime = 5 * time.Second
	// catchUp is left at the end, without new changes, for the last to spread.
	catchUp = 3 * time.Second
	// spreadLimit is when a revision must be in force.
	spreadLimit = 8 * time.Second
	// justStarted: a node younger than this at an apply is not judged by it.
	justStarted = 3 * time.Second
)

// notReached stands for a time that was longer than the phase.
const notReached = -1

// Shares of the measured part that its phases take.
const (
	quietShare = 0.2
	churnShare = 0.3
	zoneShare  = 0.25
	cutShare   = 0.25
)

// Run starts hollow nodes, measures them for a while and stops them. It needs about
// 1 MB of memory per node. It ends early with ctx's error.
func Run(ctx context.Context, options Options) (Result, error) {
	if err := options.check(); err != nil {
		return Result{}, err
	}
	result := Result{Options: options}
	w, err := newWorld(options)
	if err != nil {
		return result, err
	}
	if err := w.applyBase(ctx); err != nil {
		return result, err
	}
	before := w.read()
	heapBefore, stacksBefore := memoryInUse()
	if err := w.startAll(ctx); err != nil {
		return result, err
	}
	defer w.stopAll()
	started, complete := await(ctx, startLimit, func() bool { return w.allAlive(1) })
	if !complete {
		return result, errors.Join(ctx.Err(), fmt.Errorf("the nodes did not come to hold each other alive; changes seen: %v",
			phaseBetween("start", before, w.read()).Changes))
	}
	result.StartMillis = millis(started)
	pause(ctx, settleTime)
	heap, stacks := memoryInUse()
	result.ResidentBytes = (heap - heapBefore) / float64(options.Nodes)
	result.StackBytes = (stacks - stacksBefore) / float64(options.Nodes)
	if err := w.measure(ctx, &result); err != nil {
		return result, err
	}
	w.judgeSpread(&result)
	result.LoadAverage = loadAverage()
	return result, nil
}

// measure runs the phases.
func (w *world) measure(ctx context.Context, result *Result) error {
	watch := newObserver(w)
	change := newChurn(w, watch)
	observing, stopObserving := context.WithCancel(ctx)
	changing, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	observed, changed := make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(observed)
		watch.run(observing)
	}()

	readings := []reading{w.read()}
	next := func(name string) {
		readings = append(readings, w.read())
		last := len(readings) - 1
		result.Phases = append(result.Phases, phaseBetween(name, readings[last-1], readings[last]))
	}
	pause(ctx, w.share(quietShare))
	next("quiet")
	go func() { changed <- change.run(changing) }()
	change.failing.Store(true)
	pause(ctx, w.share(churnShare))
	change.failing.Store(false)
	next("churn")
	if w.options.Faults {
		result.ZoneLostMillis = w.loseZone(ctx, change)
		next("zone lost")
		result.RegionHealMillis = w.cutRegionOff(ctx)
		next("region cut")
	} else {
		pause(ctx, w.share(zoneShare+cutShare))
		next("changes")
	}
	result.Phases = append(result.Phases, phaseBetween("all", readings[0], readings[len(readings)-1]))

	stopChanging()
	err := <-changed
	pause(ctx, catchUp)
	stopObserving()
	<-observed
	watch.report(result)
	result.Restarts, result.Failures = int(change.restarts.Load()), int(change.failures.Load())
	return errors.Join(ctx.Err(), err)
}

func (w *world) share(share float64) time.Duration {
	return time.Duration(share * float64(w.options.Duration))
}

// loseZone loses the last zone for three fifths of the phase and returns how long the
// survivors took to know.
func (w *world) loseZone(ctx context.Context, change *churn) float64 {
	began := time.Now()
	lost := change.loseZone(w.options.Zones - 1)
	known, all := await(ctx, w.share(zoneShare*3/5), func() bool {
		for _, each := range w.upNodes() {
			for _, gone := range lost {
				if up, since := each.isUp(); up && since.Before(began) && !knowsDead(each, gone) {
					return false
				}
			}
		}
		return true
	})
	pause(ctx, w.share(zoneShare*3/5)-time.Since(began))
	change.returnZone(lost)
	pause(ctx, w.share(zoneShare)-time.Since(began))
	if !all {
		return notReached
	}
	return millis(known)
}

// cutRegionOff cuts the last region off for half the phase and returns how long it took
// after the heal until all held each other alive.
func (w *world) cutRegionOff(ctx context.Context) float64 {
	began := time.Now()
	w.setCut(w.options.Regions - 1)
	pause(ctx, w.share(cutShare/2))
	w.setCut(noRegion)
	healed, all := await(ctx, w.share(cutShare/2), func() bool { return w.healed(began) })
	pause(ctx, w.share(cutShare)-time.Since(began))
	if !all {
		return notReached
	}
	return millis(healed)
}

// healed says whether all nodes that were up before a cut hold each other not dead.
func (w *world) healed(before time.Time) bool {
	var running []*node
	for _, each := range w.upNodes() {
		if _, since := each.isUp(); since.Before(before) {
			running = append(running, each)
		}
	}
	for _, each := range running {
		for _, other := range running {
			if up, _ := other.isUp(); up && knowsDead(each, other) {
				return false
			}
		}
	}
	return true
}

func (o *observer) report(result *Result) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	result.DetectedInZone = spreadOf(o.inZone)
	result.DetectedEverywhere = spreadOf(o.everywhere)
	result.NotDetected = o.notDetected
	result.FalseDeaths = len(o.falselyDead)
}

func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(content))
}
