package roles

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	labplatform "github.com/sloelift/sloelift/lab/platform"
	"github.com/sloelift/sloelift/lab/process"
)

const (
	// storeDelay is what the slow store adds to a call, lostShare the share of changes whose answers are lost.
	storeDelay = 400 * time.Millisecond
	lostShare  = 0.4
	// busyFactor is how many busy processes there are for each core.
	busyFactor = 3
	// throttledShare is the least part of the time that a throttled process runs.
	throttledShare = 0.04
	// frozenInTurn is how long one of several stores is frozen before the next.
	frozenInTurn = 700 * time.Millisecond
	// downInTurn is how long one of several stores that are ended in turn is down, upInTurn how long all are up before the next.
	downInTurn = 300 * time.Millisecond
	upInTurn   = 1500 * time.Millisecond
	// upgradedWithin is the part of a run in which the machines are replaced by those of another build.
	upgradedWithin = 0.75
	// flapPause is how long a replica that flaps is down, and up, each time.
	flapPause = 400 * time.Millisecond
	// crashedInTurn is the share of the replicas that crash together in a series, downOfSeries how long their places are empty, and upOfSeries the
	// longest time until the next ones crash.
	crashedInTurn = 0.2
	downOfSeries  = 400 * time.Millisecond
	upOfSeries    = 1500 * time.Millisecond
	// configurationPause is the time between two configurations of a series.
	configurationPause = 150 * time.Millisecond
)

// faults carries faults out. Its methods may be called from several goroutines.
type faults struct {
	fleet *fleet

	// mutex guards failures.
	mutex    sync.Mutex
	failures []string
}

// play carries out all faults at their times and returns once all are over.
func (f *faults) play(ctx context.Context, drawn []fault) {
	began := time.Now()
	var playing sync.WaitGroup
	for _, each := range drawn {
		playing.Go(func() {
			pause.Sleep(ctx, each.At-time.Since(began))
			if ctx.Err() != nil {
				return
			}
			f.note(each, f.carryOut(ctx, each))
		})
	}
	playing.Wait()
}

// note keeps why something could not be carried out; nil is no failure.
func (f *faults) note(what fmt.Stringer, err error) {
	if err == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures = append(f.failures, fmt.Sprintf("%s: %s", what, err))
}

func picked[Value any](from []Value, number int) Value { return from[number%len(from)] }

func (f *faults) carryOut(ctx context.Context, each fault) error {
	switch each.Kind {
	case killNode, stopNode, loseDisk, killStores, killAll, killInTurn, stopInTurn, rollNodes:
		return f.endMachines(ctx, each)
	case freezeNode, freezeStores, throttleNode, throttleStores, throttleAll, busyMachine:
		return f.holdBack(ctx, each)
	case storeRefuses, storeSilent, storeSlow, storeLoses, storeForgets, cutFromStore, configuration:
		return f.disturbStore(ctx, each)
	default:
		return f.disturbReplicas(ctx, each)
	}
}

func (f *faults) endMachines(ctx context.Context, each fault) error {
	machine := picked(f.fleet.machines, each.Pick)
	switch each.Kind {
	case killNode:
		machine.kill()
		return f.startAfter(ctx, each.For, machine)
	case stopNode:
		return f.restart(ctx, machine, each.For)
	case loseDisk:
		machine = picked(f.fleet.of(classStorage), each.Pick)
		if err := machine.loseDisk(); err != nil {
			return err
		}
		return f.startAfter(ctx, each.For, machine)
	case killStores:
		return f.killTogether(ctx, each.For, f.fleet.of(classStorage))
	case killAll:
		return f.killTogether(ctx, each.For, f.fleet.machines)
	case killInTurn, stopInTurn:
		return f.endInTurn(ctx, each)
	default:
		for _, one := range f.fleet.machines {
			if err := f.restart(ctx, one, each.For); err != nil {
				return err
			}
		}
		return nil
	}
}

// killTogether kills machines at one moment and starts them again.
func (f *faults) killTogether(ctx context.Context, down time.Duration, machines []*machine) error {
	var killing sync.WaitGroup
	for _, each := range machines {
		killing.Go(each.kill)
	}
	killing.Wait()
	return f.startAfter(ctx, down, machines...)
}

// endInTurn kills or stops one storage node after the other, so that partitions change their owners in series.
func (f *faults) endInTurn(ctx context.Context, each fault) error {
	stores := f.fleet.of(classStorage)
	number := each.Pick
	for began := time.Now(); time.Since(began) < each.For && ctx.Err() == nil; number++ {
		store := picked(stores, number)
		if each.Kind == killInTurn {
			store.kill()
		} else if err := store.stop(ctx); err != nil {
			return err
		}
		if err := f.startAfter(ctx, downInTurn, store); err != nil {
			return err
		}
		pause.Sleep(ctx, upInTurn)
	}
	return nil
}

func (f *faults) startAfter(ctx context.Context, wait time.Duration, machines ...*machine) error {
	pause.Sleep(ctx, wait)
	for _, each := range machines {
		if err := each.start(); err != nil {
			return err
		}
	}
	return nil
}

// upgradeInTurn replaces the build on one machine after the other within length: both run side by side meanwhile.
func (f *faults) upgradeInTurn(ctx context.Context, length time.Duration) {
	wait := time.Duration(float64(length) * upgradedWithin / float64(len(f.fleet.machines)))
	for _, each := range f.fleet.machines {
		pause.Sleep(ctx, wait)
		each.upgrade(f.fleet.options.Program)
		f.note(each, f.restart(ctx, each, downInTurn))
	}
}

// restart stops a machine's process and starts it again.
func (f *faults) restart(ctx context.Context, of *machine, down time.Duration) error {
	if err := of.stop(ctx); err != nil {
		return err
	}
	return f.startAfter(ctx, down, of)
}

// holdBack takes processor time from processes.
func (f *faults) holdBack(ctx context.Context, each fault) error {
	bounded, cancel := context.WithTimeout(ctx, each.For)
	defer cancel()
	share := throttledShare + each.Share*each.Share*(0.5-throttledShare)
	switch each.Kind {
	case freezeNode:
		f.freeze(bounded, picked(f.fleet.machines, each.Pick), each.For)
	case freezeStores:
		stores := f.fleet.of(classStorage)
		for number := each.Pick; bounded.Err() == nil; number++ {
			f.freeze(bounded, picked(stores, number), frozenInTurn+time.Duration(each.Share*float64(2*time.Second)))
		}
	case throttleNode:
		picked(f.fleet.machines, each.Pick).throttle(bounded, share)
	case throttleStores:
		throttleTogether(bounded, f.fleet.of(classStorage), share)
	case throttleAll:
		throttleTogether(bounded, f.fleet.machines, share)
	default:
		return f.occupy(bounded)
	}
	return nil
}

func (f *faults) freeze(ctx context.Context, of *machine, length time.Duration) {
	of.pause(true)
	defer of.pause(false)
	pause.Sleep(ctx, length)
}

func throttleTogether(ctx context.Context, machines []*machine, share float64) {
	var throttling sync.WaitGroup
	for _, each := range machines {
		throttling.Go(func() { each.throttle(ctx, share) })
	}
	throttling.Wait()
}

// occupy runs more busy processes than there are cores, at ordinary priority.
func (f *faults) occupy(ctx context.Context) error {
	var busy []*process.Process
	defer func() {
		for _, each := range busy {
			each.Kill()
		}
	}()
	command := f.fleet.options.Busy
	if len(command) == 0 {
		return nil
	}
	for range busyFactor * runtime.NumCPU() {
		started, err := process.Start(command[0], f.fleet.folder+"/busy.log", command[1:]...)
		if err != nil {
			return err
		}
		busy = append(busy, started)
	}
	<-ctx.Done()
	return nil
}

func (f *faults) disturbStore(ctx context.Context, each fault) error {
	switched := labplatform.Fault{Service: labplatform.KeyValue}
	switch each.Kind {
	case storeRefuses:
		switched.Outage = labplatform.OutageRefuses
	case storeSilent:
		switched.Outage = labplatform.OutageHangs
	case storeSlow:
		switched.DelayMilliseconds = storeDelay.Milliseconds()
	case storeLoses:
		switched.LoseAnswer = lostShare
	case cutFromStore:
		switched.Zone, switched.Outage = picked(f.fleet.machines, each.Pick).name, labplatform.OutageHangs
	case storeForgets:
		f.fleet.platform.Compact(math.MaxInt64)
		return nil
	default:
		f.changeConfigurations(ctx, each.For)
		return nil
	}
	f.fleet.platform.Faults().Set(switched)
	pause.Sleep(ctx, each.For)
	f.fleet.platform.Faults().Clear(switched.Zone, switched.Service)
	return nil
}

// changeConfigurations writes one version after the other; the store may turn some away.
func (f *faults) changeConfigurations(ctx context.Context, length time.Duration) {
	for began := time.Now(); time.Since(began) < length && ctx.Err() == nil; pause.Sleep(ctx, configurationPause) {
		// Errors are those of the store's outages: the version is passed over.
		_ = f.fleet.changeConfiguration(ctx)
	}
}

func (f *faults) disturbReplicas(ctx context.Context, each fault) error {
	living := f.fleet.living()
	if len(living) == 0 {
		return nil
	}
	struck := picked(living, each.Pick)
	switch each.Kind {
	case crashInTurn:
		return f.crashInTurn(ctx, each)
	case crashReplica:
		return f.replaceReplica(ctx, struck, "", anyAddress, each.For)
	case restartReplica:
		return f.replaceReplica(ctx, struck, "", struck.address.String(), each.For)
	case restartSameID:
		return f.replaceReplica(ctx, struck, struck.id, struck.address.String(), each.For)
	case spoilEntry:
		f.spoilEntry(ctx, struck, each)
		return nil
	case flapReplica:
		return f.flap(ctx, struck, each.For)
	}
	as := manner{hang: each.Kind == hangReplica}
	for _, one := range f.struckReplicas(living, each) {
		switch each.Kind {
		case failReplicas:
			as.fail = 0.2 + 0.8*each.Share
		case loseAnswers:
			as.loseAnswer = 0.1 + 0.5*each.Share
		case breakStreams:
			as.breakOff = 0.1 + 0.5*each.Share
		}
		one.behave(as)
		defer one.behave(manner{})
	}
	pause.Sleep(ctx, each.For)
	return nil
}

// replaceReplica crashes a replica and starts another one a while later, under a new id where none is given.
func (f *faults) replaceReplica(ctx context.Context, struck *replica, id, address string, down time.Duration) error {
	f.fleet.crashReplica(struck)
	pause.Sleep(ctx, down)
	return f.fleet.addReplica(id, address, struck.zone)
}

// crashInTurn crashes some of the replicas together, again and again; others come in their places.
func (f *faults) crashInTurn(ctx context.Context, each fault) error {
	up := time.Duration((0.3 + 0.7*each.Share) * float64(upOfSeries))
	number := each.Pick
	for began := time.Now(); time.Since(began) < each.For && ctx.Err() == nil; {
		living := f.fleet.living()
		count := min(len(living), max(1, int(crashedInTurn*float64(len(living)))))
		var crashing sync.WaitGroup
		failures := make([]error, count)
		for index := range failures {
			number++
			struck := picked(living, number)
			crashing.Go(func() { failures[index] = f.replaceReplica(ctx, struck, "", anyAddress, downOfSeries) })
		}
		crashing.Wait()
		if err := errors.Join(failures...); err != nil {
			return err
		}
		pause.Sleep(ctx, up)
	}
	return nil
}

// spoiledEntries are what other writers leave.
var spoiledEntries = []string{
	`{"service":"chat"}`, `{"service":"chat","address":7}`, `not an entry`, "\xff\x00", `{"service":"chat","address":"127.0.0.1:1","zone":"zone-1","slots":4,"state":"resting"}`,
}

// spoilEntry has another writer's entry stand in place of a replica's for a while. Errors are those of the store's outages.
func (f *faults) spoilEntry(ctx context.Context, struck *replica, each fault) {
	_ = f.fleet.spoilEntry(ctx, struck, []byte(picked(spoiledEntries, each.Pick)))
	pause.Sleep(ctx, each.For)
	if struck.lives() {
		_ = f.fleet.spoilEntry(ctx, struck, nil)
	}
}

// struckReplicas is one that hangs, or half of all.
func (f *faults) struckReplicas(living []*replica, each fault) []*replica {
	if each.Kind == hangReplica {
		return []*replica{picked(living, each.Pick)}
	}
	return living[:(len(living)+1)/2]
}

// flap crashes a replica and its successors at the same address again and again.
func (f *faults) flap(ctx context.Context, struck *replica, length time.Duration) error {
	for began := time.Now(); time.Since(began) < length && ctx.Err() == nil; {
		if err := f.replaceReplica(ctx, struck, struck.id, struck.address.String(), flapPause); err != nil {
			return err
		}
		pause.Sleep(ctx, flapPause)
		living := f.fleet.living()
		struck = living[len(living)-1]
	}
	return nil
}
