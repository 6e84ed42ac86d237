package roles

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/pause"
	port "github.com/sloelift/sloelift/internal/platform"
	labplatform "github.com/sloelift/sloelift/lab/platform"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 8 * time.Second
	// heartbeatInterval is the interval at which replicas renew their leases; a lease expires after three intervals.
	heartbeatInterval = 1200 * time.Millisecond
	// readyTimeout is the timeout for a new deployment to become ready, far more than a busy machine needs.
	readyTimeout = 3 * time.Minute
	// memoryMegabytes is the memory that a process may use.
	memoryMegabytes = 300
	region          = "region-1"
	service         = "chat"
	// platformZone is the zone from which replicas and the operator call the store.
	platformZone = "platform"
)

// fleet is a running deployment. It is safe for concurrent use.
type fleet struct {
	options  Options
	folder   string
	template string
	platform *labplatform.Server
	store    port.KeyValue
	record   *record
	machines []*machine
	ready    *readiness
	// edgesAsked counts the edges that were asked for the route of a configuration after changeBound.
	edgesAsked atomic.Int64

	// mutex guards replicas, which includes those that have ended, leases, nextReplica and version.
	mutex       sync.Mutex
	replicas    []*replica
	leases      map[*replica]context.CancelFunc
	nextReplica int
	version     int64
	background  sync.WaitGroup
	closing     sync.Once
	ctx         context.Context
	cancel      context.CancelFunc
}

// startFleet starts the whole deployment and waits until every edge is ready. On an error it leaves nothing running.
func startFleet(ctx context.Context, options Options, folder string) (*fleet, error) {
	template, err := readTemplate(options.Template)
	if err != nil {
		return nil, err
	}
	started := &fleet{
		options: options, folder: folder, template: template, record: newRecord(), leases: map[*replica]context.CancelFunc{},
	}
	started.ctx, started.cancel = context.WithCancel(context.WithoutCancel(ctx))
	started.planMachines()
	started.platform = labplatform.NewServer(labplatform.Options{Seed: options.Seed, Zones: started.storeZones()})
	if err := started.platform.Start(); err != nil {
		started.cancel()
		return nil, err
	}
	started.store = started.platform.KeyValue(platformZone)
	started.ready = newReadiness(started.machinesOf(classEdge))
	started.background.Go(func() { started.ready.probe(started.ctx) })
	err = errors.Join(started.startReplicas(), started.changeConfiguration(ctx))
	if err == nil {
		err = started.startMachines(ctx)
	}
	if err != nil {
		started.close()
		return nil, err
	}
	return started, nil
}

func readTemplate(path string) (string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read settings template: %w", err)
	}
	return string(content), nil
}

// storeZones returns the zones of the store stand-in: one for each machine, so that a fault can target a single machine, and one for
// the platform.
func (f *fleet) storeZones() []string {
	names := []string{platformZone}
	for _, machine := range f.machines {
		names = append(names, machine.name)
	}
	return names
}

func (f *fleet) planMachines() {
	add := func(class string, number int) {
		planned := &machine{
			name: fmt.Sprintf("%s-%d", class, number+1), class: class, zone: f.options.zone(number),
			ip: loopback(len(f.machines)), program: cmp.Or(f.options.PreviousProgram, f.options.Program),
		}
		planned.setPaths(f.folder)
		planned.writeSettings = func() error { return f.writeSettings(planned) }
		f.machines = append(f.machines, planned)
	}
	for number := range f.options.Stores {
		add(classStorage, number)
	}
	for number := range f.options.Edges {
		add(classEdge, number)
	}
}

// machinesOf returns the machines of a class.
func (f *fleet) machinesOf(class string) []*machine {
	return slices.Collect(func(yield func(*machine) bool) {
		for _, candidate := range f.machines {
			if candidate.class == class && !yield(candidate) {
				return
			}
		}
	})
}

// writeSettings renders the settings template for a machine.
func (f *fleet) writeSettings(target *machine) error {
	zones := map[string]any{}
	for number := range f.options.Zones {
		zones[f.options.zone(number)] = region
	}
	var seeds []string
	for _, store := range f.machinesOf(classStorage)[:min(3, f.options.Stores)] {
		seeds = append(seeds, store.address(portAdmin).String())
	}
	fields := map[string]any{
		"node": target.name, "machine_class": target.class, "region": region, "zone": target.zone,
		"ip": target.ip.String(), "zones": zones, "seeds": seeds,
		"ephemeral_ports": []string{fmt.Sprint(portPeers), fmt.Sprint(portMetrics)},
		"platform":        map[string]any{"address": f.platform.Address(target.name).String()},
		"limits":          map[string]any{"memory_mb": memoryMegabytes, "disk_mb": 0, "max_fds": 4096},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "grace_s": int(gracePeriod / time.Second), "cancel_ms": 3000, "sync_s": 4.8, "poll_s": 120, "quota_burst": 0.1,
		},
	}
	if target.class == classEdge {
		fields["bind"] = map[string]any{"http": target.address(portCallers).String(), "readiness": target.address(portReadiness).String()}
	} else {
		fields["data_dir"] = target.dataFolder
	}
	content, err := fillTemplate(f.template, fields)
	if err != nil {
		return fmt.Errorf("fill settings template: %w", err)
	}
	return os.WriteFile(target.settingsPath, []byte(content), 0o644)
}

func (f *fleet) startMachines(ctx context.Context) error {
	for _, machine := range f.machines {
		if machine.dataFolder != "" {
			if err := os.MkdirAll(machine.dataFolder, 0o755); err != nil {
				return err
			}
		}
		if err := machine.start(); err != nil {
			return err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.ready.allReady() {
		if bounded.Err() != nil {
			return fmt.Errorf("edges are not ready after %s; logs are in %s", readyTimeout, f.folder)
		}
		pause.Sleep(bounded, 50*time.Millisecond)
	}
	return nil
}

func (f *fleet) startReplicas() error {
	for range f.options.Replicas {
		if err := f.addReplica("", f.options.version(f.nextReplica), anyAddress, f.options.zone(f.nextReplica)); err != nil {
			return err
		}
	}
	return nil
}

// anyAddress lets a replica listen on any free loopback port.
const anyAddress = "127.0.0.1:0"

// addReplica starts a replica and keeps its entry in the store. An empty id stands for a new one.
func (f *fleet) addReplica(id, version, address, zone string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if id == "" {
		f.nextReplica++
		id = fmt.Sprintf("r-%d", f.nextReplica)
	}
	added, err := startReplica(id, service, version, zone, address, f.record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.replicas = append(f.replicas, added)
	f.leases[added] = cancel
	f.background.Go(func() { f.keepEntry(ctx, added) })
	if f.options.EndingItems > 0 || f.options.CrashingRequests > 0 {
		f.background.Go(func() { f.replaceIfEndedByWork(added) })
	}
	return nil
}

// replaceIfEndedByWork waits until the replica ends and starts a replacement if work ended it.
func (f *fleet) replaceIfEndedByWork(watched *replica) {
	select {
	case <-watched.ended:
	case <-f.ctx.Done():
		return
	}
	if watched.endedBy.Load() == nil {
		return
	}
	pause.Sleep(f.ctx, replacementDelay)
	if f.ctx.Err() == nil {
		// On an error the fleet continues with one replica fewer; the guarantees to callers are checked regardless.
		_ = f.addReplica("", watched.version, anyAddress, watched.zone)
	}
}

// keepEntry writes a replica's entry and renews its lease until the replica ends. After a crash the entry stays until the lease expires.
func (f *fleet) keepEntry(ctx context.Context, owner *replica) {
	var lease port.LeaseID
	written := ""
	for ctx.Err() == nil && owner.lives() {
		if lease == 0 {
			// An error means that the store has an outage; the next iteration retries.
			lease, _ = f.store.GrantLease(ctx, 3*heartbeatInterval)
			written = ""
		} else if _, err := f.store.KeepAlive(ctx, lease); errorx.IsOfType(err, port.KindLeaseNotFound) {
			lease = 0
			continue
		}
		if entry := string(owner.entry()); lease != 0 && entry != written {
			if err := f.put(ctx, wire.Translator{}.ReplicaPrefix()+owner.id, []byte(entry), lease); err == nil {
				written = entry
			} else {
				lease = 0
			}
		}
		pause.Sleep(ctx, heartbeatInterval)
	}
}

// living returns the replicas that have not ended.
func (f *fleet) living() []*replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.replicas), func(candidate *replica) bool { return !candidate.lives() })
}

// livingOf returns the replicas of a version that have not ended and do not drain.
func (f *fleet) livingOf(version string) []*replica {
	return slices.DeleteFunc(f.living(), func(candidate *replica) bool { return candidate.version != version || candidate.leaving.Load() })
}

// lastStorageUpgrade returns when the last storage node was upgraded; zero if one was not.
func (f *fleet) lastStorageUpgrade() time.Time {
	var last time.Time
	for _, machine := range f.machinesOf(classStorage) {
		upgradedAt := machine.upgradeTime()
		if upgradedAt.IsZero() {
			return upgradedAt
		}
		if upgradedAt.After(last) {
			last = upgradedAt
		}
	}
	return last
}

// versionServes reports whether two replicas or more of a version serve and take new requests.
func (f *fleet) versionServes(version string) bool {
	return len(f.livingOf(version)) >= 2
}

// isPreviousBuild reports whether the named machine ran the previous build at a time.
func (f *fleet) isPreviousBuild(name string, at time.Time) bool {
	return f.options.PreviousProgram != "" && slices.ContainsFunc(f.machines, func(candidate *machine) bool {
		upgradedAt := candidate.upgradeTime()
		return candidate.name == name && (upgradedAt.IsZero() || at.Before(upgradedAt))
	})
}

// allReplicas returns all replicas ever started, including those that have ended.
func (f *fleet) allReplicas() []*replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.replicas)
}

// crashReplica ends a replica without notice; its entry stays until the lease expires.
func (f *fleet) crashReplica(target *replica) {
	target.crash()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leases[target]()
}

// spoilEntry overwrites a replica's entry with content, as if by another writer; nil restores the replica's own entry.
func (f *fleet) spoilEntry(ctx context.Context, target *replica, content []byte) error {
	key := wire.Translator{}.ReplicaPrefix() + target.id
	present, err := f.store.Get(ctx, key)
	if err != nil || present.ModRevision == 0 {
		return err
	}
	if content == nil {
		content = target.entry()
	}
	return f.put(ctx, key, content, present.LeaseID)
}

// put writes a key unconditionally.
func (f *fleet) put(ctx context.Context, key string, value []byte, lease port.LeaseID) error {
	change := port.Change{Key: key, Value: value, LeaseID: lease}
	_, err := f.store.Commit(ctx, port.Transaction{Changes: []port.Change{change}})
	return err
}

// remove deletes a key unconditionally.
func (f *fleet) remove(ctx context.Context, key string) error {
	_, err := f.store.Commit(ctx, port.Transaction{Changes: []port.Change{{Key: key, Delete: true}}})
	return err
}

// startedShortlyBefore reports whether a process of the named machine was started within contactTimeout before then.
func (f *fleet) startedShortlyBefore(name string, then time.Time) bool {
	return slices.ContainsFunc(f.machines, func(candidate *machine) bool {
		return candidate.name == name && candidate.startedWithin(contactTimeout, then)
	})
}

// inTouch reports whether the named machine was in touch, in the sense of the platform's documentation, from from to to: its process also ran
// for contactTimeout before.
func (f *fleet) inTouch(name string, from, to time.Time) bool {
	return slices.ContainsFunc(f.machines, func(candidate *machine) bool {
		return candidate.name == name && candidate.ranThroughout(from.Add(-contactTimeout), to)
	})
}

// saveMetrics saves the metrics of every machine that responds to a file beside its log.
func (f *fleet) saveMetrics() {
	client := http.Client{Timeout: time.Second}
	for _, machine := range f.machines {
		response, err := client.Get("http://" + machine.address(portMetrics).String() + node.MetricsPath)
		if err != nil {
			continue // The machine is down.
		}
		file, err := os.Create(filepath.Join(f.folder, machine.name+".metrics"))
		if err == nil {
			_, err = file.ReadFrom(response.Body)
			err = errors.Join(err, file.Close())
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "metrics of", machine.name, "not saved:", err)
		}
		// The body has been read, so an error on closing it can be ignored.
		_ = response.Body.Close()
	}
}

// close ends all processes and simulated services; later calls do nothing.
func (f *fleet) close() { f.closing.Do(f.shutDown) }

func (f *fleet) shutDown() {
	f.cancel()
	var wait sync.WaitGroup
	for _, machine := range f.machines {
		wait.Go(machine.kill)
	}
	wait.Wait()
	for _, replica := range f.living() {
		replica.crash()
	}
	f.background.Wait()
	f.platform.Stop()
}
