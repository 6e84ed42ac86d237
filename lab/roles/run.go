package roles

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// finishTimeout is the timeout for accepted jobs after the callers and the faults have ended, far more than a busy machine needs.
	finishTimeout = 4 * time.Minute
)

// Options of a soak.
type Options struct {
	// Program is the path of the program and Template the path of its settings template. BusyCommand is a command that keeps a core
	// busy; if it is empty, the busy-machine fault does nothing.
	Program     string
	Template    string
	BusyCommand []string
	// Seed is the first of Runs consecutive seeds; Duration is how long callers send requests in each run.
	Seed     uint64
	Runs     int
	Duration time.Duration
	// Zones, Edges, Stores and Replicas are the sizes of the deployment.
	Zones, Edges, Stores, Replicas int
	// OnlinePerSecond and JobsPerSecond are the mean arrival rates of online requests and jobs.
	OnlinePerSecond, JobsPerSecond float64
	// ItemEvents is the maximum number of events of an item, 0 for defaultMaxItemEvents; EndingItems is the share of items that end
	// every replica that runs them.
	ItemEvents  int
	EndingItems float64
	// Versions is the number of software versions that replicas run side by side, 0 for one.
	Versions int
	// StreamEvents is the maximum number of events of an online stream, 0 for defaultMaxStreamEvents; BreakOffs is the share of attempts at
	// streams whose callers close the connection on the way and take the stream up again.
	StreamEvents int
	BreakOffs    float64
	// UploadBytes is the length of the long online requests, one in four; 0 for none.
	UploadBytes int
	// UnusedPerSecond is the mean rate of connections that callers open and use only seconds later.
	UnusedPerSecond float64
	// CrashingRequests is the number of online requests that crash every replica that runs them; callers send them repeatedly.
	CrashingRequests int
	// PreviousProgram is the path of another build that all machines start with; they are upgraded to Program one by one
	// during the run. Empty means no upgrade.
	PreviousProgram string
	// FaultKinds names the kinds of faults to draw from; empty means all default kinds.
	FaultKinds []string
	// KeepLogs keeps the logs of all runs, not only those of failed ones.
	KeepLogs bool
}

// Check validates the options.
func (o Options) Check() error {
	switch {
	case o.Zones < 1 || o.Edges < 1 || o.Stores < 1 || o.Replicas < 1 || o.Runs < 1:
		return fmt.Errorf("at least one zone, edge, storage node, replica and run are required")
	case o.ItemEvents != 0 && o.ItemEvents < 10:
		return fmt.Errorf("items must have at least 10 events")
	case o.StreamEvents != 0 && o.StreamEvents < minStreamEvents:
		return fmt.Errorf("streams must have at least %d events", minStreamEvents)
	case o.UploadBytes < 0 || o.UploadBytes > maxUploadBytes:
		return fmt.Errorf("long requests must have at most %d bytes", maxUploadBytes)
	case o.Edges+o.Stores > maxMachines:
		return fmt.Errorf("at most %d machines are possible, one for each loopback address", maxMachines)
	}
	for _, program := range []string{o.Program, cmp.Or(o.PreviousProgram, o.Program)} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("program: %w", err)
		}
	}
	return nil
}

// versions returns the software versions of the replicas.
func (o Options) versions() []string {
	var names []string
	for number := range max(1, o.Versions) {
		names = append(names, o.version(number))
	}
	return names
}

// version returns the version of the replica with the given number.
func (o Options) version(number int) string { return fmt.Sprintf("v%d", number%max(1, o.Versions)+1) }

// versionAfter returns the version that a replica runs after a restart with another version.
func (o Options) versionAfter(version string) string {
	return o.version(slices.Index(o.versions(), version) + 1)
}

// maxMachines is the maximum number of machines, whose addresses differ in the last byte only.
const maxMachines = 250

func (o Options) zone(number int) string { return fmt.Sprintf("zone-%d", number%o.Zones+1) }

// Report is the result of a soak.
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
	if len(found.violations) > 0 {
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
	sum.EndedOneMore += run.EndedOneMore
	sum.KilledAfterGrace += run.KilledAfterGrace
	sum.EdgesAsked += run.EdgesAsked
	sum.StreamsTakenUp += run.StreamsTakenUp
	sum.StreamsWentOn += run.StreamsWentOn
	sum.MixedStreams += run.MixedStreams
	sum.MostReplicas = max(sum.MostReplicas, run.MostReplicas)
	sum.MostFailures = max(sum.MostFailures, run.MostFailures)
	sum.MostRejections = max(sum.MostRejections, run.MostRejections)
	sum.MostSends = max(sum.MostSends, run.MostSends)
	sum.MostEnded = max(sum.MostEnded, run.MostEnded)
	sum.MostCrashed = max(sum.MostCrashed, run.MostCrashed)
}

// Run plays the seeds one after the other. For each it writes a summary line to output, with the folder of the logs if they were kept, and
// the violations found.
func Run(ctx context.Context, options Options, output io.Writer) (Report, error) {
	var report Report
	if err := options.Check(); err != nil {
		return report, err
	}
	kinds, err := selectKinds(options.FaultKinds)
	if err != nil {
		return report, err
	}
	first := options.Seed
	for number := range uint64(options.Runs) {
		options.Seed = first + number
		drawn := drawFaults(options.Seed, options.Duration, kinds)
		found, folder, err := playSeed(ctx, options, drawn)
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

// playSeed plays one seed and returns the verdict and the folder with its logs.
func playSeed(ctx context.Context, options Options, drawn []fault) (verdict, string, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("sloelift-roles-%d-", options.Seed))
	if err != nil {
		return verdict{}, "", err
	}
	running, err := startFleet(ctx, options, folder)
	if err != nil {
		return verdict{}, folder, err
	}
	defer running.close()
	clients := newCallers(running, options.Seed)
	defer clients.close()
	faults := &injector{fleet: running}
	loading, stopLoad := context.WithTimeout(ctx, options.Duration)
	defer stopLoad()
	var tasks sync.WaitGroup
	tasks.Go(func() { faults.play(ctx, drawn) })
	if options.PreviousProgram != "" {
		tasks.Go(func() { faults.upgradeInTurn(ctx, options.Duration) })
	}
	tasks.Go(func() { clients.startAtRate(loading, options.OnlinePerSecond, func() { clients.sendOnline(ctx) }) })
	tasks.Go(func() { clients.startAtRate(loading, options.JobsPerSecond, func() { clients.submit(loading) }) })
	tasks.Go(func() {
		clients.startAtRate(loading, options.UnusedPerSecond, func() { clients.sendOnUnusedConnection(ctx) })
	})
	if len(clients.crashing) > 0 {
		tasks.Go(func() { clients.startAtRate(loading, crashingPerSecond, func() { clients.sendCrashing(ctx) }) })
	}
	tasks.Wait()
	finishing, stopFinish := context.WithTimeout(ctx, finishTimeout)
	defer stopFinish()
	clients.finishJobs(finishing)
	if ctx.Err() != nil {
		// An interrupted run is not judged, since its jobs had no time to finish.
		return verdict{}, folder, ctx.Err()
	}
	result := judge(running.record, clients, options.versions(), running.lastStorageUpgrade())
	result.judgeStreams(clients.attempts, running.isPreviousBuild, running.inTouch)
	result.judgeEndedReplicas(running.allReplicas(), clients.crashingMarks())
	result.judgeCrashing(clients, running.record, running.allReplicas(), running.startedShortlyBefore)
	result.judgePlanned(drawn, clients.attempts, running.record)
	result.violations = append(result.violations, faults.failures...)
	result.counts.EdgesAsked = int(running.edgesAsked.Load())
	for _, machine := range running.machines {
		result.counts.KilledAfterGrace += int(machine.killedAfterGrace.Load())
		if peak := machine.peakMemory(); peak > memoryMegabytes<<20 {
			result.addViolation("the process of %s used %d MB of memory, %d allowed", machine.name, peak>>20, memoryMegabytes)
		}
		if machine.exitedByItself() {
			result.addViolation("the process of %s ended by itself", machine.name)
		}
	}
	if len(result.violations) > 0 || options.KeepLogs {
		running.saveMetrics()
		return result, folder, nil
	}
	// Running processes would write into the folder while it is removed.
	running.close()
	return result, folder, os.RemoveAll(folder)
}

func printRun(output io.Writer, options Options, drawn []fault, found verdict, folder string) error {
	var texts []string
	for _, planned := range drawn {
		texts = append(texts, planned.String())
	}
	state := "kept"
	if len(found.violations) > 0 {
		state = "BROKEN, logs in " + folder
	} else if options.KeepLogs {
		state = "kept, logs in " + folder
	}
	counts := found.counts
	_, err := fmt.Fprintf(output, "seed %d: %s; online %d of %d, items %d of %d; most replicas of a request %d, of an item: answers of 500 %d, of 422 %d, sends %d; replicas ended by one item %d, one more by %d items, crashed by one request %d; streams taken up %d, went on %d, of two versions %d; %s\n",
		options.Seed, state, counts.OnlineServed, counts.OnlineSent, counts.ItemsDone, counts.Items,
		counts.MostReplicas, counts.MostFailures, counts.MostRejections, counts.MostSends, counts.MostEnded, counts.EndedOneMore, counts.MostCrashed,
		counts.StreamsTakenUp, counts.StreamsWentOn, counts.MixedStreams, strings.Join(texts, " "))
	for _, broken := range found.violations {
		if err == nil {
			_, err = fmt.Fprintln(output, "  ", broken)
		}
	}
	return err
}
