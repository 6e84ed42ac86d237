package roles

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	labplatform "github.com/sloelift/sloelift/lab/platform"
	"github.com/sloelift/sloelift/lab/process"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// storeDelay is the delay that the slow store adds to a call; lostResponseShare is the share of changes whose responses are lost.
	storeDelay        = 400 * time.Millisecond
	lostResponseShare = 0.4
	// busyProcessesPerCore is the number of busy processes per core.
	busyProcessesPerCore = 3
	// minThrottledShare is the minimum share of the time that a throttled process runs.
	minThrottledShare = 0.04
	// minSerialFreeze is the minimum time that each store is frozen when stores are frozen one after the other.
	minSerialFreeze = 700 * time.Millisecond
	// serialDowntime is how long a node is down when nodes are ended one after the other; serialInterval is how long all are up before the
	// next one is ended.
	serialDowntime = 300 * time.Millisecond
	serialInterval = 1500 * time.Millisecond
	// upgradeShare is the share of a run within which all machines are upgraded to the other build.
	upgradeShare = 0.75
	// flapInterval is how long a flapping replica is down, and then up, in each cycle.
	flapInterval = 400 * time.Millisecond
	// serialCrashShare is the share of the replicas that crash together in a series of crashes, replacementDelay the delay before their
	// replacements start, and maxCrashInterval the maximum time until the next crash.
	serialCrashShare = 0.2
	replacementDelay = 400 * time.Millisecond
	maxCrashInterval = 1500 * time.Millisecond
	// drainTime is how long a replica that is replaced in a release drains: its entry says so after a heartbeat, and runs that began before
	// that end.
	drainTime = 3 * time.Second
	// configurationInterval is the interval between the configurations of a series.
	configurationInterval = 150 * time.Millisecond
)

// injector injects the faults of a run. It is safe for concurrent use.
type injector struct {
	fleet *fleet

	// silence is held during a changeSilence fault, so that the next one disturbs no check.
	silence sync.Mutex
	// mutex guards failures.
	mutex    sync.Mutex
	failures []string
}

// play injects all faults at their times and returns when all of them have ended.
func (f *injector) play(ctx context.Context, drawn []fault) {
	began := time.Now()
	var playing sync.WaitGroup
	for _, next := range drawn {
		playing.Go(func() {
			pause.Sleep(ctx, next.Start-time.Since(began))
			if ctx.Err() != nil {
				return
			}
			f.noteFailure(next, f.inject(ctx, next))
		})
	}
	playing.Wait()
}

// noteFailure records that an operation failed with err; a nil err is ignored.
func (f *injector) noteFailure(operation fmt.Stringer, err error) {
	if err == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures = append(f.failures, fmt.Sprintf("%s: %s", operation, err))
}

func pick[Value any](candidates []Value, number int) Value { return candidates[number%len(candidates)] }

func (f *injector) inject(ctx context.Context, drawn fault) error {
	switch drawn.Kind {
	case killNode, stopNode, loseDisk, killStores, killAll, killEdges, killInTurn, stopInTurn, rollNodes:
		return f.endMachines(ctx, drawn)
	case freezeNode, freezeStores, throttleNode, throttleStores, throttleAll, busyMachine:
		return f.limitProcessor(ctx, drawn)
	case storeRefuses, storeSilent, storeSlow, storeLoses, storeForgets, cutFromStore, configuration:
		return f.disturbStore(ctx, drawn)
	case changeSilence:
		return f.changeAfterSilence(ctx, drawn)
	default:
		return f.disturbReplicas(ctx, drawn)
	}
}

func (f *injector) endMachines(ctx context.Context, drawn fault) error {
	machine := pick(f.fleet.machines, drawn.Target)
	switch drawn.Kind {
	case killNode:
		machine.kill()
		return f.startAfter(ctx, drawn.Duration, machine)
	case stopNode:
		return f.restart(ctx, machine, drawn.Duration)
	case loseDisk:
		machine = pick(f.fleet.machinesOf(classStorage), drawn.Target)
		if err := machine.loseDisk(); err != nil {
			return err
		}
		return f.startAfter(ctx, drawn.Duration, machine)
	case killStores:
		return f.killTogether(ctx, drawn.Duration, f.fleet.machinesOf(classStorage))
	case killAll:
		return f.killTogether(ctx, drawn.Duration, f.fleet.machines)
	case killEdges:
		edges := f.fleet.machinesOf(classEdge)
		return f.killTogether(ctx, drawn.Duration, edges[:max(1, int(drawn.Strength*float64(len(edges)+1)))])
	case killInTurn, stopInTurn:
		return f.endInTurn(ctx, drawn)
	default:
		for _, restarted := range f.fleet.machines {
			if err := f.restart(ctx, restarted, drawn.Duration); err != nil {
				return err
			}
		}
		return nil
	}
}

// killTogether kills all machines at the same time and starts them again after down.
func (f *injector) killTogether(ctx context.Context, down time.Duration, machines []*machine) error {
	var killing sync.WaitGroup
	for _, target := range machines {
		killing.Go(target.kill)
	}
	killing.Wait()
	return f.startAfter(ctx, down, machines...)
}

// endInTurn kills or stops one storage node after the other, so that partitions change owners repeatedly.
func (f *injector) endInTurn(ctx context.Context, drawn fault) error {
	stores := f.fleet.machinesOf(classStorage)
	number := drawn.Target
	for began := time.Now(); time.Since(began) < drawn.Duration && ctx.Err() == nil; number++ {
		store := pick(stores, number)
		if drawn.Kind == killInTurn {
			store.kill()
		} else if err := store.stop(ctx); err != nil {
			return err
		}
		if err := f.startAfter(ctx, serialDowntime, store); err != nil {
			return err
		}
		pause.Sleep(ctx, serialInterval)
	}
	return nil
}

func (f *injector) startAfter(ctx context.Context, wait time.Duration, machines ...*machine) error {
	pause.Sleep(ctx, wait)
	for _, target := range machines {
		if err := target.start(); err != nil {
			return err
		}
	}
	return nil
}

// upgradeInTurn upgrades one machine after the other, so that both builds run side by side for most of length.
func (f *injector) upgradeInTurn(ctx context.Context, duration time.Duration) {
	wait := time.Duration(float64(duration) * upgradeShare / float64(len(f.fleet.machines)))
	for _, machine := range f.fleet.machines {
		pause.Sleep(ctx, wait)
		machine.upgrade(f.fleet.options.Program)
		f.noteFailure(machine, f.restart(ctx, machine, serialDowntime))
	}
}

// restart stops a machine's process and starts it again after down.
func (f *injector) restart(ctx context.Context, target *machine, down time.Duration) error {
	if err := target.stop(ctx); err != nil {
		return err
	}
	return f.startAfter(ctx, down, target)
}

// limitProcessor injects a fault that takes processor time from processes.
func (f *injector) limitProcessor(ctx context.Context, drawn fault) error {
	bounded, cancel := context.WithTimeout(ctx, drawn.Duration)
	defer cancel()
	share := minThrottledShare + drawn.Strength*drawn.Strength*(0.5-minThrottledShare)
	switch drawn.Kind {
	case freezeNode:
		f.freeze(bounded, pick(f.fleet.machines, drawn.Target), drawn.Duration)
	case freezeStores:
		stores := f.fleet.machinesOf(classStorage)
		for number := drawn.Target; bounded.Err() == nil; number++ {
			f.freeze(bounded, pick(stores, number), minSerialFreeze+time.Duration(drawn.Strength*float64(2*time.Second)))
		}
	case throttleNode:
		pick(f.fleet.machines, drawn.Target).throttle(bounded, share)
	case throttleStores:
		throttleTogether(bounded, f.fleet.machinesOf(classStorage), share)
	case throttleAll:
		throttleTogether(bounded, f.fleet.machines, share)
	default:
		return f.occupyProcessors(bounded)
	}
	return nil
}

func (f *injector) freeze(ctx context.Context, target *machine, duration time.Duration) {
	target.pause(true)
	defer target.pause(false)
	pause.Sleep(ctx, duration)
}

func throttleTogether(ctx context.Context, machines []*machine, share float64) {
	var throttling sync.WaitGroup
	for _, target := range machines {
		throttling.Go(func() { target.throttle(ctx, share) })
	}
	throttling.Wait()
}

// occupyProcessors runs busyProcessesPerCore busy processes per core at normal priority until ctx ends.
func (f *injector) occupyProcessors(ctx context.Context) error {
	var busy []*process.Process
	defer func() {
		for _, running := range busy {
			running.Kill()
		}
	}()
	command := f.fleet.options.BusyCommand
	if len(command) == 0 {
		return nil
	}
	for range busyProcessesPerCore * runtime.NumCPU() {
		started, err := process.Start(command[0], f.fleet.folder+"/busy.log", command[1:]...)
		if err != nil {
			return err
		}
		busy = append(busy, started)
	}
	<-ctx.Done()
	return nil
}

func (f *injector) disturbStore(ctx context.Context, drawn fault) error {
	storeFault := labplatform.Fault{Service: labplatform.KeyValue}
	switch drawn.Kind {
	case storeRefuses:
		storeFault.Outage = labplatform.OutageRefuses
	case storeSilent:
		storeFault.Outage = labplatform.OutageHangs
	case storeSlow:
		storeFault.DelayMilliseconds = storeDelay.Milliseconds()
	case storeLoses:
		storeFault.LoseAnswer = lostResponseShare
	case cutFromStore:
		storeFault.Zone, storeFault.Outage = pick(f.fleet.machines, drawn.Target).name, labplatform.OutageHangs
	case storeForgets:
		f.fleet.platform.Compact(math.MaxInt64)
		return nil
	default:
		f.changeConfigurations(ctx, drawn.Duration)
		return nil
	}
	f.fleet.platform.Faults().Set(storeFault)
	pause.Sleep(ctx, drawn.Duration)
	f.fleet.platform.Faults().Clear(storeFault.Zone, storeFault.Service)
	return nil
}

// changeConfigurations writes one configuration version after the other for length.
func (f *injector) changeConfigurations(ctx context.Context, duration time.Duration) {
	for began := time.Now(); time.Since(began) < duration && ctx.Err() == nil; pause.Sleep(ctx, configurationInterval) {
		// An error means that the store has an outage; this version is skipped.
		_ = f.fleet.changeConfiguration(ctx)
	}
}

func (f *injector) disturbReplicas(ctx context.Context, drawn fault) error {
	living := f.fleet.living()
	if len(living) == 0 {
		return nil
	}
	target := pick(living, drawn.Target)
	switch drawn.Kind {
	case crashInTurn:
		return f.crashInTurn(ctx, drawn)
	case crashVersion:
		return f.crashVersion(ctx, target.version, drawn.Duration)
	case releaseVersion:
		return f.releaseVersion(ctx, target.version, drawn.Duration)
	case crashReplica:
		return f.replaceReplica(ctx, target, "", anyAddress, drawn.Duration)
	case restartReplica:
		return f.replaceReplica(ctx, target, "", target.address.String(), drawn.Duration)
	case restartSameID:
		return f.restartUnderItsID(ctx, target, drawn.Duration)
	case spoilEntry:
		f.spoilEntry(ctx, target, []byte(pick(spoiledEntries, drawn.Target)), drawn.Duration)
		return nil
	case spoilVersion:
		versions := append(f.fleet.options.versions(), "")
		f.spoilEntry(ctx, target, target.entryWith(pick(versions, drawn.Target)), drawn.Duration)
		return nil
	case invalidEntries:
		return f.addInvalidEntries(ctx, target, drawn)
	case flapReplica:
		return f.flap(ctx, target, drawn.Duration)
	}
	next := misbehavior{hang: drawn.Kind == hangReplica}
	for _, replica := range f.affectedReplicas(living, drawn) {
		switch drawn.Kind {
		case failReplicas:
			next.fail = 0.2 + 0.8*drawn.Strength
		case loseAnswers:
			next.loseAnswer = 0.1 + 0.5*drawn.Strength
		case breakStreams:
			next.breakOff = 0.1 + 0.5*drawn.Strength
		case spoilAnswers:
			next.spoil = 0.1 + 0.5*drawn.Strength
		case endlessAnswer:
			next.endless = 0.1 + 0.5*drawn.Strength
		case invalidHead:
			next.invalidHead = 0.1 + 0.5*drawn.Strength
		case breakUploads:
			next.breakUpload = 0.1 + 0.5*drawn.Strength
		}
		replica.setMisbehavior(next)
		defer replica.setMisbehavior(misbehavior{})
	}
	pause.Sleep(ctx, drawn.Duration)
	return nil
}

// replaceReplica crashes a replica and starts another one after down. An empty id stands for a new one.
func (f *injector) replaceReplica(ctx context.Context, target *replica, id, address string, down time.Duration) error {
	f.fleet.crashReplica(target)
	pause.Sleep(ctx, down)
	return f.fleet.addReplica(id, target.version, address, target.zone)
}

// restartUnderItsID crashes a replica and starts it again under its id and at its address, with the next version if there are several.
func (f *injector) restartUnderItsID(ctx context.Context, target *replica, down time.Duration) error {
	f.fleet.crashReplica(target)
	pause.Sleep(ctx, down)
	return f.fleet.addReplica(target.id, f.fleet.options.versionAfter(target.version), target.address.String(), target.zone)
}

// crashVersion crashes all replicas of a version together and starts as many again after down.
func (f *injector) crashVersion(ctx context.Context, version string, down time.Duration) error {
	var crashing sync.WaitGroup
	failures := make(chan error, len(f.fleet.living()))
	for _, target := range f.fleet.livingOf(version) {
		crashing.Go(func() { failures <- f.replaceReplica(ctx, target, "", anyAddress, down) })
	}
	crashing.Wait()
	close(failures)
	var failed error
	for failure := range failures {
		failed = errors.Join(failed, failure)
	}
	return failed
}

// releaseVersion replaces the replicas of a version by ones of the next version, one after the other over duration: a replacement starts,
// the replica drains, and ends after drainTime.
func (f *injector) releaseVersion(ctx context.Context, version string, duration time.Duration) error {
	replaced := f.fleet.livingOf(version)
	var draining sync.WaitGroup
	defer draining.Wait()
	for _, target := range replaced {
		if err := f.fleet.addReplica("", f.fleet.options.versionAfter(version), anyAddress, target.zone); err != nil {
			return err
		}
		target.leaving.Store(true)
		draining.Go(func() {
			pause.Sleep(ctx, drainTime)
			f.fleet.crashReplica(target)
		})
		pause.Sleep(ctx, duration/time.Duration(len(replaced)))
	}
	return nil
}

// crashInTurn repeatedly crashes a share of the replicas at once and replaces them.
func (f *injector) crashInTurn(ctx context.Context, drawn fault) error {
	up := time.Duration((0.3 + 0.7*drawn.Strength) * float64(maxCrashInterval))
	number := drawn.Target
	for began := time.Now(); time.Since(began) < drawn.Duration && ctx.Err() == nil; {
		living := f.fleet.living()
		count := min(len(living), max(1, int(serialCrashShare*float64(len(living)))))
		var crashing sync.WaitGroup
		failures := make([]error, count)
		for index := range failures {
			number++
			target := pick(living, number)
			crashing.Go(func() { failures[index] = f.replaceReplica(ctx, target, "", anyAddress, replacementDelay) })
		}
		crashing.Wait()
		if err := errors.Join(failures...); err != nil {
			return err
		}
		pause.Sleep(ctx, up)
	}
	return nil
}

// spoiledEntries are invalid replica entries.
var spoiledEntries = []string{
	`{"service":"chat"}`,
	`{"service":"chat","address":7}`,
	`not an entry`,
	"\xff\x00",
	`{"service":"chat","address":"127.0.0.1:1","zone":"zone-1","slots":4,"state":"resting"}`,
}

// spoilEntry overwrites a replica's entry with content, as if by another writer, and restores it after duration. Errors mean that the store
// has an outage and are ignored.
func (f *injector) spoilEntry(ctx context.Context, target *replica, content []byte, duration time.Duration) {
	_ = f.fleet.spoilEntry(ctx, target, content)
	pause.Sleep(ctx, duration)
	if target.lives() {
		_ = f.fleet.spoilEntry(ctx, target, nil)
	}
}

// invalidValues are texts of a valid entry, each with what replaces it to make the entry invalid.
var invalidValues = [][2]string{
	{`"slots":17`, `"slots":9223372036854775807`}, {`"slots":17`, `"slots":1000000000000000`}, {`"slots":17`, `"slots":1e400`},
	{`"cold_left_ms":0`, `"cold_left_ms":1e300`}, {`"born":`, `"born":9223372036854775807,"earlier":`}, {`"call_seq":0`, `"call_seq":1e400`},
	{`:1"`, `:70000"`}, {`:1"`, `:0"`}, {`"version":"`, `"more":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `,"version":"`},
}

// nesting exceeds the depth to which encoding/json decodes.
const nesting = 15_000

// addInvalidEntries adds invalid entries, as if by another writer, and replaces target's entry by one. It restores the entries afterwards.
func (f *injector) addInvalidEntries(ctx context.Context, target *replica, drawn fault) error {
	var keys []string
	// Nothing listens at port 1.
	valid := strings.Replace(string(target.entry()), target.address.String(), target.address.Addr().String()+":1", 1)
	for number, value := range invalidValues {
		key := fmt.Sprintf("%sinvalid-%d-%d", wire.Translator{}.ReplicaPrefix(), drawn.Target, number)
		invalid := strings.Replace(valid, value[0], value[1], 1)
		if f.fleet.put(ctx, key, []byte(invalid), 0) == nil {
			keys = append(keys, key)
		}
	}
	replacing := pick(invalidValues, drawn.Target)
	f.spoilEntry(ctx, target, []byte(strings.Replace(valid, replacing[0], replacing[1], 1)), drawn.Duration)
	for _, key := range keys {
		// An error means that the store has an outage; the entry then stays, which is allowed.
		_ = f.fleet.remove(ctx, key)
	}
	return nil
}

// affectedReplicas returns the replicas that a fault affects: one for a hang, otherwise half of the living ones.
func (f *injector) affectedReplicas(living []*replica, drawn fault) []*replica {
	if drawn.Kind == hangReplica {
		return []*replica{pick(living, drawn.Target)}
	}
	return living[:(len(living)+1)/2]
}

// flap repeatedly crashes a replica and starts its successor under the same id and address.
func (f *injector) flap(ctx context.Context, target *replica, duration time.Duration) error {
	for began := time.Now(); time.Since(began) < duration && ctx.Err() == nil; {
		if err := f.restartUnderItsID(ctx, target, flapInterval); err != nil {
			return err
		}
		pause.Sleep(ctx, flapInterval)
		living := f.fleet.living()
		target = living[len(living)-1]
	}
	return nil
}
