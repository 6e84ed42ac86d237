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
	// catchUp is the time at the end, without new changes, for the last change to spread.
	catchUp = 3 * time.Second
	// spreadLimit is the time within which a revision must be in force.
	spreadLimit = 8 * time.Second
	// minUptimeAtChange is the minimum uptime of a node for a change to be judged on it.
	minUptimeAtChange = 3 * time.Second
)

// notReached is the value of a time that was longer than the phase.
const notReached = -1

// Shares of the measured part, by phase.
const (
	quietShare = 0.2
	churnShare = 0.3
	zoneShare  = 0.25
	cutShare   = 0.25
)

// Run starts hollow nodes, measures them for options.Duration and stops them. It needs
// about 1 MB of memory per node. If ctx ends early, it returns the error of ctx.
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
		return result, errors.Join(ctx.Err(), fmt.Errorf("not all nodes see each other as alive after the start; membership changes: %v",
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

// measure runs the phases and adds their figures to result.
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

// loseZone fails the last zone for three fifths of the phase and returns the time in
// milliseconds until all survivors saw it as dead.
func (w *world) loseZone(ctx context.Context, change *churn) float64 {
	began := time.Now()
	lost := change.loseZone(w.options.Zones - 1)
	known, all := await(ctx, w.share(zoneShare*3/5), func() bool {
		for _, survivor := range w.upNodes() {
			for _, failed := range lost {
				if up, since := survivor.isUp(); up && since.Before(began) && !seesDead(survivor, failed) {
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

// cutRegionOff isolates the last region for half the phase and returns the time in
// milliseconds from the heal until no node saw another as dead.
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

// healed reports whether no two nodes that were up before the isolation see each other as dead.
func (w *world) healed(cutAt time.Time) bool {
	var running []*node
	for _, survivor := range w.upNodes() {
		if _, since := survivor.isUp(); since.Before(cutAt) {
			running = append(running, survivor)
		}
	}
	for _, viewer := range running {
		for _, other := range running {
			if up, _ := other.isUp(); up && seesDead(viewer, other) {
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
