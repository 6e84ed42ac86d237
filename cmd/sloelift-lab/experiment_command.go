package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/lab/experiment"
	"github.com/sloelift/sloelift/lab/load"
)

// runFlags are shared by the commands that run a deployment under load.
type runFlags struct {
	Profile  string `help:"Profile: registry or tidewater." default:"registry"`
	JSON     bool   `help:"Print one JSON object." name:"json"`
	LogLevel string `help:"Level of the nodes' log." default:"info"`
	Profiled string `help:"Write a CPU profile of the whole process to this file." name:"cpu-profile" type:"path"`
	Keep     bool   `help:"Keep the run's folder with the nodes' log and print its name."`
}

// profile starts the CPU profile if the flags request one; the returned function ends it.
func (f runFlags) profile() (end func(), err error) {
	if f.Profiled == "" {
		return func() {}, nil
	}
	file, err := os.Create(f.Profiled)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func (f runFlags) options() (experiment.Options, error) {
	profile, err := load.ProfileByName(f.Profile)
	if err != nil {
		return experiment.Options{}, err
	}
	level, err := zerolog.ParseLevel(f.LogLevel)
	if err != nil {
		return experiment.Options{}, err
	}
	return experiment.Options{Profile: profile, Policy: experiment.PolicySloelift, LogLevel: level, KeepFolder: f.Keep}, nil
}

type demoCommand struct {
	runFlags
	Duration time.Duration `help:"How long work arrives." default:"15s"`
	Seed     uint64        `help:"Seed of the arrivals." default:"1"`
}

// Run runs the demo and fails if an invariant was violated.
func (c *demoCommand) Run(ctx context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	endProfile, err := c.profile()
	if err != nil {
		return err
	}
	defer endProfile()
	options.Seed, options.Duration = c.Seed, c.Duration
	options.Scenario = experiment.Scenario{Name: "demo"}
	result, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := printResult(result, c.JSON); err != nil {
		return err
	}
	if result.Failed {
		return errBroken
	}
	return nil
}

func printResult(result experiment.Result, asJSON bool) error {
	if asJSON {
		return printJSON(result)
	}
	if result.Folder != "" {
		fmt.Println("folder", result.Folder)
	}
	return result.Print(os.Stdout)
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type experimentCommand struct {
	runFlags
	Faults     []string      `help:"Fault files, or names of built-in ones; 'all' is all of them." default:"none"`
	Seed       []uint64      `help:"Seeds; each scenario runs once for each." default:"1"`
	Duration   time.Duration `help:"How long work arrives; 0 is the fault file's own." default:"0s"`
	Policy     []string      `help:"Policies: sloelift, online-only, fifo, static-split." default:"sloelift"`
	Compare    bool          `help:"Compare all policies on the same arrivals, without faults."`
	BatchScale float64       `help:"Multiplies the items of each job." default:"1"`
}

// Run runs the scenarios, or the comparison.
func (c *experimentCommand) Run(ctx context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	endProfile, err := c.profile()
	if err != nil {
		return err
	}
	defer endProfile()
	options.Profile.Batch.ItemsPerJob = int(float64(options.Profile.Batch.ItemsPerJob) * c.BatchScale)
	policies, err := c.policies()
	if err != nil {
		return err
	}
	if c.Compare {
		return c.compare(ctx, options, policies)
	}
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	var results []experiment.Result
	failed := false
	for _, scenario := range scenarios {
		for _, seed := range c.Seed {
			for _, policy := range policies {
				result, err := runScenario(ctx, options, scenario, seed, policy, c.Duration)
				if err != nil {
					return err
				}
				failed = failed || result.Failed
				results = append(results, result)
				if !c.JSON {
					if err := printResult(result, false); err != nil {
						return err
					}
					fmt.Println()
				}
			}
		}
	}
	if c.JSON {
		if err := printJSON(results); err != nil {
			return err
		}
	}
	if failed {
		return errBroken
	}
	return nil
}

func runScenario(
	ctx context.Context, options experiment.Options, scenario experiment.Scenario, seed uint64, policy experiment.Policy, duration time.Duration,
) (experiment.Result, error) {
	options.Scenario, options.Seed, options.Policy = scenario, seed, policy
	options.Duration = scenario.Duration
	if duration > 0 {
		options.Duration = duration
	}
	return experiment.Run(ctx, options)
}

func (c *experimentCommand) policies() ([]experiment.Policy, error) {
	if c.Compare && len(c.Policy) == 1 {
		return experiment.Policies(), nil
	}
	var policies []experiment.Policy
	for _, name := range c.Policy {
		policy := experiment.Policy(name)
		if err := policy.Check(); err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

func (c *experimentCommand) scenarios() ([]experiment.Scenario, error) {
	names := c.Faults
	if len(names) == 1 && names[0] == "all" {
		names = experiment.BuiltInScenarios()
	}
	var scenarios []experiment.Scenario
	for _, name := range names {
		scenario, err := experiment.LoadScenario(name)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

// compareDuration is how long work arrives in a comparison by default.
const compareDuration = 20 * time.Second

func (c *experimentCommand) compare(ctx context.Context, options experiment.Options, policies []experiment.Policy) error {
	options.Scenario = experiment.Scenario{Name: "compare"}
	options.Duration = compareDuration
	if c.Duration > 0 {
		options.Duration = c.Duration
	}
	comparison, err := experiment.Compare(ctx, options, c.Seed, policies, func(result experiment.Result) {
		fmt.Fprintf(os.Stderr, "policy %s, seed %d: first token p99 %.1f ms, %.1f items/s, %d broken\n",
			result.Policy, result.Seed, result.FirstToken.P99, result.Batch.ItemsPerSecond, len(result.Verdict.Broken))
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(comparison)
	} else {
		err = comparison.Print(os.Stdout)
	}
	if err == nil && comparison.Failed() {
		err = errBroken
	}
	return err
}
