package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/lab/deployment"
	labengine "github.com/sloelift/sloelift/lab/engine"
	"github.com/sloelift/sloelift/lab/load"
)

const (
	// drainTimeout is the timeout for unfinished work after the last arrival.
	drainTimeout = 60 * time.Second
	// leavingGrace is how long a replica may still get work after the machine list shows it as leaving.
	leavingGrace = 2 * time.Second
	logFileName  = "nodes.log"
)

// Options of one run.
type Options struct {
	Profile  load.Profile
	Seed     uint64
	Duration time.Duration
	Scenario Scenario
	Policy   Policy
	// Program is the path of the program to run as one process per node; if empty, all nodes run in this process.
	Program string
	// LogLevel is the log level of the nodes, whose log is written to the run's folder.
	LogLevel zerolog.Level
	// KeepFolder keeps the run's folder with its log and sets Folder in the result.
	KeepFolder bool
}

// Run plays the load of one seed under one scenario and checks the invariants.
func Run(ctx context.Context, options Options) (Result, error) {
	folder, err := os.MkdirTemp("", "sloelift-lab-")
	if err != nil {
		return Result{}, err
	}
	if !options.KeepFolder {
		defer os.RemoveAll(folder)
	}
	logFile, err := os.Create(filepath.Join(folder, logFileName))
	if err != nil {
		return Result{}, err
	}
	defer logFile.Close()
	logger := logging.New(logFile, options.LogLevel)
	result, err := runIn(ctx, options, folder, logger)
	if options.KeepFolder {
		result.Folder = folder
	}
	return result, err
}

func runIn(ctx context.Context, options Options, folder string, logger zerolog.Logger) (Result, error) {
	plan := load.NewPlan(options.Scenario.Load.apply(options.Profile), options.Duration, options.Seed)
	if options.Policy == PolicyOnlineOnly {
		plan.Jobs = nil
	}
	deploymentOptions := deployment.DefaultOptions(plan.Profile, folder, options.Seed)
	deploymentOptions.Logger = logger
	deploymentOptions.NodeLogLevel = options.LogLevel.String()
	deploymentOptions.Program = options.Program
	deploymentOptions.NodeOptions = []node.Option{options.Policy.nodeOption()}
	fleet, err := deployment.Start(ctx, deploymentOptions)
	if err != nil {
		return Result{}, fmt.Errorf("start deployment: %w", err)
	}
	defer fleet.Close()
	return observe(ctx, options, plan, fleet, logger), nil
}

// observe plays the plan and the faults and collects the result.
func observe(ctx context.Context, options Options, plan load.Plan, fleet *deployment.Deployment, logger zerolog.Logger) Result {
	bounded, cancel := context.WithTimeout(ctx, options.Duration+drainTimeout)
	defer cancel()
	runner := load.NewRunner(plan, fleet.Targets)
	faults := newInjector(fleet, options.Seed, logger)
	var wait sync.WaitGroup
	wait.Go(func() { faults.run(bounded, options.Scenario.Faults) })
	var atEnd labengine.Totals
	wait.Go(func() {
		pause(bounded, options.Duration)
		atEnd = fleet.Log.Totals()
	})
	machine := startLatenessProbe()
	seen := runner.Run(bounded)
	close(faults.ended)
	wait.Wait()
	result := summarize(options, plan, seen, fleet.Log.Records(), atEnd)
	result.TimerLateness = machine.stop()
	result.EngineFirstToken = fleet.Log.OnlineFirstToken.Distribution()
	result.EngineInterToken = fleet.Log.OnlineInterToken.Distribution()
	result.addFaults(faults, fleet.Log.Records(), deployment.DefaultOptions(plan.Profile, "", 0).MachineListLag)
	return result
}
