package main

import (
	"context"
	"os"
	"time"

	"github.com/sloelift/sloelift/lab/load"
	"github.com/sloelift/sloelift/lab/soak"
)

type soakCommand struct {
	Program string        `help:"Program that runs for each node." default:"bin/sloelift" type:"existingfile"`
	Profile string        `help:"Profile: registry or tidewater." default:"registry"`
	Seed    uint64        `help:"First seed." default:"1"`
	Runs    int           `help:"Number of seeds." default:"10"`
	Each    time.Duration `help:"How long work arrives with each seed." default:"12s"`
}

// Run plays the seeds and fails if an invariant was violated.
func (c *soakCommand) Run(ctx context.Context) error {
	profile, err := load.ProfileByName(c.Profile)
	if err != nil {
		return err
	}
	report, err := soak.Run(ctx, soak.Options{
		Program: c.Program, Profile: profile, FirstSeed: c.Seed, Runs: c.Runs, Duration: c.Each,
	}, os.Stdout)
	if err != nil {
		return err
	}
	return conclude(report, report.Broken)
}
