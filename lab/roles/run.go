package roles

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// finishWithin bounds the wait for accepted jobs after the callers and the faults have ended. It is a bound against waiting for ever, far
	// beyond what a busy machine needs.
	finishWithin = 4 * time.Minute
)

// Options of a soak.
type Options struct {
	// Program is the path of the program, Template that of its settings' template, Busy a command that keeps a core busy; without one no
	// machine is made busy.
	Program  string
	Template string
	Busy     []string
	// Seed is the first of Runs seeds; with each, callers come for Each.
	Seed uint64
	Runs int
	Each time.Duration
	// Zones, Edges, Stores and Replicas are the sizes of the deployment.
	Zones, Edges, Stores, Replicas int
	// OnlinePerSecond and JobsPerSecond are what callers bring.
	OnlinePerSecond, JobsPerSecond float64
	// ItemEvents is the most events of an item, 0 for eventsOfItem; EndingItems is the share of items that end each replica on which they run.
	ItemEvents  int
	EndingItems float64
	// CrashingRequests is the number of online requests that crash each replica on which they run and come again and again.
	CrashingRequests int
	// Before is the path of another build that runs on all machines at first; they are replaced in turn by Program while callers come. Empty for none.
	Before string
	// Only are the names of the kinds of faults to draw from; none for all.
	Only []string
	// Keep keeps the logs of all runs, not only of those that broke.
	Keep bool
}

// Check returns why the options cannot be played.
func (o Options) Check() error {
	switch {
	case o.Zones < 1 || o.Edges < 1 || o.Stores < 1 || o.Replicas < 1 || o.Runs < 1:
		return fmt.Errorf("wants at least one zone, edge, storage node, replica and run")
	case o.ItemEvents != 0 && o.ItemEvents < 10:
		return fmt.Errorf("wants items of at least 10 events")
	case o.Edges+o.Stores > maxMachines:
		return fmt.Errorf("wants at most %d machines, which have loopback addresses of their own", maxMachines)
	}
	for _, program := range []string{o.Program, cmp.Or(o.Before, o.Program)} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("program: %w", err)
		}
	}
	return nil
}

// maxMachines have addresses that differ in their last byte.
const maxMachines = 250

func (o Options) zone(number int) string { return fmt.Sprintf("zone-%d", number%o.Zones+1) }

// Report is what a soak found.
type Report struct {
	Runs   int      `json:"runs"`
	Broken int      `json:"broken"`
	Faults int      `json:"faults"`
	Counts Counts   `json:"counts"`
	Seeds  []uint64 `json:"broken_seeds"`
}

func (r *Report) add(seed uint64, drawn []fault, found verdict) {
	r.Runs++
	r.Faults += len(drawn)
	if len(found.broken) > 0 {
		r.Broken++
		r.Seeds = append(r.Seeds, seed)
	}
	sum, run := &r.Counts, found.counts
	sum.OnlineSent += run.OnlineSent
	sum.OnlineServed += run.OnlineServed
	sum.Jobs += run.Jobs
	sum.Items += run.Items
	sum.ItemsDone += run.ItemsDone
	sum.OverAttempts += run.OverAttempts
	sum.LongDeadlines += run.LongDeadlines
	sum.KilledAfterGrace += run.KilledAfterGrace
	sum.MostReplicas = max(sum.MostReplicas, run.MostReplicas)
	sum.MostFailures = max(sum.MostFailures, run.MostFailures)
	sum.MostRejections = max(sum.MostRejections, run.MostRejections)
	sum.MostSends = max(sum.MostSends, run.MostSends)
	sum.MostEnded = max(sum.MostEnded, run.MostEnded)
	sum.MostCrashed = max(sum.MostCrashed, run.MostCrashed)
}

// Run plays the seeds in turn and writes a line on each, what broke, and the folder with the logs of a run that broke.
func Run(ctx context.Context, options Options, output io.Writer) (Report, error) {
	var report Report
	if err := options.Check(); err != nil {
		return report, err
	}
	kinds, err := kindsAmong(options.Only)
	if err != nil {
		return report, err
	}
	first := options.Seed
	for number := range uint64(options.Runs) {
		options.Seed = first + number
		drawn := drawFaults(options.Seed, options.Each, kinds)
		found, folder, err := play(ctx, options, drawn)
		if err != nil {
			return report, fmt.Errorf("seed %d: %w", options.Seed, err)
		}
		report.add(options.Seed, drawn, found)
		if err := printRun(output, options, drawn, found, folder); err != nil {
			return report, err
		}
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
	}
	return report, nil
}

// play plays one seed.
func play(ctx context.Context, options Options, drawn []fault) (verdict, string, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("sloelift-roles-%d-", options.Seed))
	if err != nil {
		return verdict{}, "", err
	}
	running, err := startFleet(ctx, options, folder)
	if err != nil {
		return verdict{}, folder, err
	}
	defer running.close()
	asking := newCallers(running, options.Seed)
	defer asking.close()
	playing := &faults{fleet: running}
	loading, stopLoad := context.WithTimeout(ctx, options.Each)
	defer stopLoad()
	var all sync.WaitGroup
	all.Go(func() { playing.play(ctx, drawn) })
	if options.Before != "" {
		all.Go(func() { playing.upgradeInTurn(ctx, options.Each) })
	}
	all.Go(func() { asking.every(loading, options.OnlinePerSecond, func() { asking.ask(ctx) }) })
	all.Go(func() { asking.every(loading, options.JobsPerSecond, func() { asking.submit(loading) }) })
	if len(asking.crashing) > 0 {
		all.Go(func() { asking.every(loading, crashingPerSecond, func() { asking.askCrashing(ctx) }) })
	}
	all.Wait()
	finishing, stopFinish := context.WithTimeout(ctx, finishWithin)
	defer stopFinish()
	asking.finishJobs(finishing)
	if ctx.Err() != nil {
		// A run that was interrupted is not judged: its jobs had no time to end.
		return verdict{}, folder, ctx.Err()
	}
	found := judge(running.record, asking)
	found.judgeEnds(running.replicasSoFar(), asking.crashingMarks())
	found.judgeCrashing(asking, running.record, running.replicasSoFar(), running.startedShortlyBefore)
	found.broken = append(found.broken, playing.failures...)
	for _, each := range running.machines {
		found.counts.KilledAfterGrace += int(each.killedAfterGrace.Load())
		if each.ownEnd() {
			found.breaks("the process of %s ended by itself", each.name)
		}
	}
	if len(found.broken) > 0 || options.Keep {
		running.metrics()
		return found, folder, nil
	}
	// Processes that still run write into the folder while it is removed.
	running.close()
	return found, folder, os.RemoveAll(folder)
}

func printRun(output io.Writer, options Options, drawn []fault, found verdict, folder string) error {
	var texts []string
	for _, each := range drawn {
		texts = append(texts, each.String())
	}
	state := "kept"
	if len(found.broken) > 0 {
		state = "BROKEN, logs in " + folder
	} else if options.Keep {
		state = "kept, logs in " + folder
	}
	counts := found.counts
	_, err := fmt.Fprintf(output, "seed %d: %s; online %d of %d, items %d of %d; most replicas of a request %d, of an item: answers of 500 %d, of 422 %d, sends %d; replicas ended by one item %d, crashed by one request %d; %s\n",
		options.Seed, state, counts.OnlineServed, counts.OnlineSent, counts.ItemsDone, counts.Items, counts.MostReplicas, counts.MostFailures, counts.MostRejections,
		counts.MostSends, counts.MostEnded, counts.MostCrashed, strings.Join(texts, " "))
	for _, broken := range found.broken {
		if err == nil {
			_, err = fmt.Fprintln(output, "  ", broken)
		}
	}
	return err
}
