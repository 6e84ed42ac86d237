package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/lab/experiment"
	"github.com/sloelift/sloelift/lab/load"
)

// Options of a soak.
type Options struct {
	// Program is the path of the program to run as one process per node.
	Program string
	Profile load.Profile
	// FirstSeed is the first of Runs consecutive seeds; Duration is how long work arrives in each run.
	FirstSeed uint64
	Runs      int
	Duration  time.Duration
}

// Report is the result of a soak.
type Report struct {
	Runs   int `json:"runs"`
	Broken int `json:"broken"`
	Faults int `json:"faults"`
	// OnlineSent and ItemsAccepted count the work given to the system, OnlineCompleted and ItemsCompleted the work that it completed.
	OnlineSent      int `json:"online_sent"`
	OnlineCompleted int `json:"online_completed"`
	ItemsAccepted   int `json:"items_accepted"`
	ItemsCompleted  int `json:"items_completed"`
	// WorstFirstToken is the maximum over all runs of the 99th percentile of the time to first token, in milliseconds.
	WorstFirstToken float64 `json:"worst_first_token_p99_ms"`
}

// Run plays the seeds one after the other. For each it writes a summary line to output, with the folder of the logs if the run failed, and
// the violations found.
func Run(ctx context.Context, options Options, output io.Writer) (Report, error) {
	var report Report
	for run := range uint64(options.Runs) {
		seed := options.FirstSeed + run
		scenario := Draw(seed, options.Duration)
		result, err := experiment.Run(ctx, experiment.Options{
			Profile: options.Profile, Seed: seed, Duration: options.Duration, Scenario: scenario, Policy: experiment.PolicySloelift,
			Program: options.Program, LogLevel: zerolog.InfoLevel, KeepFolder: true,
		})
		if err != nil {
			return report, fmt.Errorf("seed %d: %w", seed, err)
		}
		report.add(result, scenario)
		if err := printRun(output, seed, scenario, result); err != nil {
			return report, err
		}
		if !result.Failed {
			if err := os.RemoveAll(result.Folder); err != nil {
				return report, err
			}
		}
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
	}
	return report, nil
}

func (r *Report) add(result experiment.Result, scenario experiment.Scenario) {
	r.Runs++
	r.Faults += len(scenario.Faults)
	if result.Failed {
		r.Broken++
	}
	r.OnlineSent += result.Verdict.OnlineSent
	r.OnlineCompleted += result.Verdict.OnlineCompleted
	r.ItemsAccepted += result.Verdict.ItemsAccepted
	r.ItemsCompleted += result.Verdict.ItemsCompleted
	r.WorstFirstToken = max(r.WorstFirstToken, result.FirstToken.P99)
}

func printRun(output io.Writer, seed uint64, scenario experiment.Scenario, result experiment.Result) error {
	var faults []string
	for _, fault := range scenario.Faults {
		faults = append(faults, fmt.Sprintf("%s@%s+%s", fault.Kind, fault.At, fault.For))
	}
	state := "kept"
	if result.Failed {
		state = "BROKEN, logs in " + result.Folder
	}
	_, err := fmt.Fprintf(output, "seed %d: %s; online %d of %d, items %d of %d; %s\n", seed, state,
		result.Verdict.OnlineCompleted, result.Verdict.OnlineSent, result.Verdict.ItemsCompleted, result.Verdict.ItemsAccepted,
		strings.Join(faults, " "))
	for _, broken := range append(result.Verdict.Broken, result.FaultErrors...) {
		if err == nil {
			_, err = fmt.Fprintln(output, "  ", broken)
		}
	}
	return err
}
