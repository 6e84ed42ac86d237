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
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/pause"
	port "github.com/sloelift/sloelift/internal/platform"
	labplatform "github.com/sloelift/sloelift/lab/platform"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// heartbeat is how often replicas renew their entries, which go after three of silence.
	heartbeat = 1200 * time.Millisecond
	// readyWithin bounds the wait for a new deployment, far beyond what a busy machine needs.
	readyWithin = 3 * time.Minute
	region      = "region-1"
	service     = "chat"
	// platformZone is from where replicas and the operator call the store.
	platformZone = "platform"
)

// fleet is a running deployment. Its methods may be called from several goroutines.
type fleet struct {
	options  Options
	folder   string
	template string
	platform *labplatform.Server
	store    port.KeyValue
	record   *record
	machines []*machine
	ready    *readiness

	// mutex guards the replicas, those that have ended among them, their leases, and the number of the next.
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

// startFleet brings all up and waits until each edge is ready. On an error nothing is left running.
func startFleet(ctx context.Context, options Options, folder string) (*fleet, error) {
	template, err := readTemplate(options.Template)
	if err != nil {
		return nil, err
	}
	started := &fleet{options: options, folder: folder, template: template, record: newRecord(), leases: map[*replica]context.CancelFunc{}}
	started.ctx, started.cancel = context.WithCancel(context.WithoutCancel(ctx))
	started.planMachines()
	started.platform = labplatform.NewServer(labplatform.Options{Seed: options.Seed, Zones: started.callersOfStore()})
	if err := started.platform.Start(); err != nil {
		started.cancel()
		return nil, err
	}
	started.store = started.platform.KeyValue(platformZone)
	started.ready = newReadiness(started.of(classEdge))
	started.background.Go(func() { started.ready.follow(started.ctx) })
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
		return "", fmt.Errorf("template of the settings: %w", err)
	}
	return string(content), nil
}

// callersOfStore names those who call the store at an address of their own, so that a fault can strike one of them.
func (f *fleet) callersOfStore() []string {
	names := []string{platformZone}
	for _, each := range f.machines {
		names = append(names, each.name)
	}
	return names
}

func (f *fleet) planMachines() {
	add := func(class string, number int) {
		each := &machine{
			name: fmt.Sprintf("%s-%d", class, number+1), class: class, zone: f.options.zone(number), ip: loopback(len(f.machines)), program: cmp.Or(f.options.Before, f.options.Program),
		}
		each.paths(f.folder)
		each.writeSettings = func() error { return f.writeSettings(each) }
		f.machines = append(f.machines, each)
	}
	for number := range f.options.Stores {
		add(classStorage, number)
	}
	for number := range f.options.Edges {
		add(classEdge, number)
	}
}

func (f *fleet) of(class string) []*machine {
	return slices.Collect(func(yield func(*machine) bool) {
		for _, each := range f.machines {
			if each.class == class && !yield(each) {
				return
			}
		}
	})
}

// writeSettings fills the template with the fields of a machine.
func (f *fleet) writeSettings(of *machine) error {
	zones := map[string]any{}
	for number := range f.options.Zones {
		zones[f.options.zone(number)] = region
	}
	var seeds []string
	for _, each := range f.of(classStorage)[:min(3, f.options.Stores)] {
		seeds = append(seeds, each.at(portAdmin).String())
	}
	fields := map[string]any{
		"node": of.name, "machine_class": of.class, "region": region, "zone": of.zone, "ip": of.ip.String(), "zones": zones, "seeds": seeds,
		"ephemeral_ports": []string{fmt.Sprint(portPeers), fmt.Sprint(portMetrics)},
		"platform":        map[string]any{"address": f.platform.Address(of.name).String()},
		"limits":          map[string]any{"memory_mb": 300, "disk_mb": 0, "max_fds": 4096},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "grace_s": int(grace / time.Second), "cancel_ms": 3000, "sync_s": 4.8, "poll_s": 120, "quota_burst": 0.1,
		},
	}
	if of.class == classEdge {
		fields["bind"] = map[string]any{"http": of.at(portCallers).String(), "readiness": of.at(portReadiness).String()}
	} else {
		fields["data_dir"] = of.dataFolder
	}
	content, err := fillTemplate(f.template, fields)
	if err != nil {
		return fmt.Errorf("template of the settings: %w", err)
	}
	return os.WriteFile(of.settingsPath, []byte(content), 0o644)
}

func (f *fleet) startMachines(ctx context.Context) error {
	for _, each := range f.machines {
		if each.dataFolder != "" {
			if err := os.MkdirAll(each.dataFolder, 0o755); err != nil {
				return err
			}
		}
		if err := each.start(); err != nil {
			return err
		}
	}
	bounded, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for !f.ready.all() {
		if bounded.Err() != nil {
			return fmt.Errorf("the edges are not ready after %s; logs in %s", readyWithin, f.folder)
		}
		pause.Sleep(bounded, 50*time.Millisecond)
	}
	return nil
}

func (f *fleet) startReplicas() error {
	for range f.options.Replicas {
		if err := f.addReplica("", anyAddress, f.options.zone(f.nextReplica)); err != nil {
			return err
		}
	}
	return nil
}

// anyAddress is a free port.
const anyAddress = "127.0.0.1:0"

// addReplica starts a replica, under a new id where none is given, and keeps its entry.
func (f *fleet) addReplica(id, address, zone string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if id == "" {
		f.nextReplica++
		id = fmt.Sprintf("r-%d", f.nextReplica)
	}
	added, err := startReplica(id, service, zone, address, f.record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.replicas = append(f.replicas, added)
	f.leases[added] = cancel
	f.background.Go(func() { f.keepEntry(ctx, added) })
	if f.options.EndingItems > 0 || f.options.CrashingRequests > 0 {
		f.background.Go(func() { f.replaceWhereWorkEndsIt(added) })
	}
	return nil
}

// replaceWhereWorkEndsIt has another replica come in the place of one that ends by its work.
func (f *fleet) replaceWhereWorkEndsIt(of *replica) {
	select {
	case <-of.ended:
	case <-f.ctx.Done():
		return
	}
	if of.endedBy.Load() == nil {
		return
	}
	pause.Sleep(f.ctx, downOfSeries)
	if f.ctx.Err() == nil {
		// Without it there is a replica less; the callers' promises are judged all the same.
		_ = f.addReplica("", anyAddress, of.zone)
	}
}

// keepEntry writes a replica's entry and renews it until the replica ends; a crash says nothing, and the entry lapses.
func (f *fleet) keepEntry(ctx context.Context, of *replica) {
	var lease port.LeaseID
	written := ""
	for ctx.Err() == nil && of.lives() {
		if lease == 0 {
			// Errors are those of the store's outages; the next round tries again.
			lease, _ = f.store.GrantLease(ctx, 3*heartbeat)
			written = ""
		} else if _, err := f.store.KeepAlive(ctx, lease); errorx.IsOfType(err, port.KindLeaseNotFound) {
			lease = 0
			continue
		}
		if entry := string(of.entry()); lease != 0 && entry != written {
			if err := f.put(ctx, wire.Translator{}.ReplicaPrefix()+of.id, []byte(entry), lease); err == nil {
				written = entry
			} else {
				lease = 0
			}
		}
		pause.Sleep(ctx, heartbeat)
	}
}

// living returns the replicas that have not ended.
func (f *fleet) living() []*replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(f.replicas), func(each *replica) bool { return !each.lives() })
}

// replicasSoFar returns all replicas that there were.
func (f *fleet) replicasSoFar() []*replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.replicas)
}

// crashReplica ends a replica without a word; its entry lapses.
func (f *fleet) crashReplica(of *replica) {
	of.crash()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leases[of]()
}

// spoilEntry puts content in place of a replica's entry, as another writer does; nil puts the replica's own back.
func (f *fleet) spoilEntry(ctx context.Context, of *replica, content []byte) error {
	key := wire.Translator{}.ReplicaPrefix() + of.id
	present, err := f.store.Get(ctx, key)
	if err != nil || present.ModRevision == 0 {
		return err
	}
	if content == nil {
		content = of.entry()
	}
	return f.put(ctx, key, content, present.LeaseID)
}

// put writes a key, whatever stands there.
func (f *fleet) put(ctx context.Context, key string, value []byte, lease port.LeaseID) error {
	change := port.Change{Key: key, Value: value, LeaseID: lease}
	_, err := f.store.Commit(ctx, port.Transaction{Changes: []port.Change{change}})
	return err
}

// startedShortlyBefore says that the machine's process was started within contactTime before then.
func (f *fleet) startedShortlyBefore(name string, then time.Time) bool {
	return slices.ContainsFunc(f.machines, func(each *machine) bool { return each.name == name && each.startedWithin(contactTime, then) })
}

// metrics writes the figures of each machine that answers beside its log.
func (f *fleet) metrics() {
	client := http.Client{Timeout: time.Second}
	for _, each := range f.machines {
		answer, err := client.Get("http://" + each.at(portMetrics).String() + node.MetricsPath)
		if err != nil {
			continue // A machine that is down has none.
		}
		file, err := os.Create(filepath.Join(f.folder, each.name+".metrics"))
		if err == nil {
			_, err = file.ReadFrom(answer.Body)
			err = errors.Join(err, file.Close())
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "figures of", each.name, "not kept:", err)
		}
		// All was read, so that an error of the end is of no matter.
		_ = answer.Body.Close()
	}
}

// close ends all processes and stand-ins, once.
func (f *fleet) close() { f.closing.Do(f.endAll) }

func (f *fleet) endAll() {
	f.cancel()
	var wait sync.WaitGroup
	for _, each := range f.machines {
		wait.Go(each.kill)
	}
	wait.Wait()
	for _, each := range f.living() {
		each.crash()
	}
	f.background.Wait()
	f.platform.Stop()
}
