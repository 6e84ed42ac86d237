package main

import (
	"context"
	"os"
	"time"

	"github.com/sloelift/sloelift/lab/roles"
)

type rolesCommand struct {
	Program          string        `help:"Program that runs for each machine." default:"bin/sloelift" type:"existingfile"`
	Template         string        `help:"Template of its settings." default:"deploy/settings.tmpl" type:"existingfile"`
	Seed             uint64        `help:"First seed." default:"1"`
	Runs             int           `help:"Number of seeds." default:"10"`
	Each             time.Duration `help:"How long callers come with each seed." default:"20s"`
	Zones            int           `help:"Zones." default:"3"`
	Edges            int           `help:"Edges." default:"8"`
	Stores           int           `help:"Storage nodes." default:"3"`
	Replicas         int           `help:"Replicas of the service." default:"12"`
	Online           float64       `help:"Requests a second." default:"100"`
	Jobs             float64       `help:"Batch jobs a second." default:"1.2"`
	Before           string        `help:"Another build that runs at first on all machines; they are replaced in turn by the program." type:"existingfile"`
	ItemEvents       int           `help:"Most events of an item; 0 for short items."`
	EndingItems      float64       `help:"Share of items that end each replica on which they run."`
	CrashingRequests int           `help:"Number of online requests that crash each replica on which they run and come again and again."`
	Only             []string      `help:"Kinds of faults to draw from; all where none is named."`
	Keep             bool          `help:"Keep the logs of all runs."`
}

// Run plays the seeds and fails if a guarantee was violated.
func (c *rolesCommand) Run(ctx context.Context) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	report, err := roles.Run(ctx, roles.Options{
		Program: c.Program, Template: c.Template, Busy: []string{own, "busy"}, Seed: c.Seed, Runs: c.Runs, Each: c.Each,
		Zones: c.Zones, Edges: c.Edges, Stores: c.Stores, Replicas: c.Replicas, OnlinePerSecond: c.Online, JobsPerSecond: c.Jobs,
		Before: c.Before, ItemEvents: c.ItemEvents, EndingItems: c.EndingItems, CrashingRequests: c.CrashingRequests,
		Only: c.Only, Keep: c.Keep,
	}, os.Stdout)
	if err != nil {
		return err
	}
	return conclude(report, report.Broken)
}

type busyCommand struct {
	For time.Duration `help:"When it ends by itself." default:"60s"`
}

// Run keeps one core busy for the given time.
func (c *busyCommand) Run() error {
	for began := time.Now(); time.Since(began) < c.For; {
	}
	return nil
}
