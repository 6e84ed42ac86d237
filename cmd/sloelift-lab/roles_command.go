package main

import (
	"context"
	"os"
	"time"

	"github.com/sloelift/sloelift/lab/roles"
)

type rolesCommand struct {
	Program          string        `help:"Program that runs for each machine." default:"bin/sloelift" type:"existingfile"`
	Template         string        `help:"Template of the settings." default:"deploy/settings.tmpl" type:"existingfile"`
	Seed             uint64        `help:"First seed." default:"1"`
	Runs             int           `help:"Number of seeds." default:"10"`
	Each             time.Duration `help:"How long callers send requests with each seed." default:"20s"`
	Zones            int           `help:"Zones." default:"3"`
	Edges            int           `help:"Edges." default:"8"`
	Stores           int           `help:"Storage nodes." default:"3"`
	Replicas         int           `help:"Replicas of the service." default:"12"`
	Online           float64       `help:"Online requests per second." default:"100"`
	Jobs             float64       `help:"Batch jobs per second." default:"1.2"`
	Before           string        `help:"Another build that all machines run at first; they are upgraded to the program one after the other." type:"existingfile"`
	ItemEvents       int           `help:"Maximum number of events of an item; 0 for short items."`
	EndingItems      float64       `help:"Share of items that end every replica that runs them."`
	Versions         int           `help:"Software versions that replicas run side by side." default:"2"`
	StreamEvents     int           `help:"Maximum number of events of an online stream; 0 for short streams."`
	UploadBytes      int           `help:"Length of the long online requests, one in four; 0 for none."`
	Unused           float64       `help:"Mean connections per second that callers open and use only seconds later."`
	BreakOffs        float64       `help:"Share of attempts at streams whose callers close the connection on the way and take the stream up again."`
	CrashingRequests int           `help:"Number of online requests that crash every replica that runs them and are sent repeatedly."`
	Only             []string      `help:"Kinds of faults to draw from; all by default."`
	Keep             bool          `help:"Keep the logs of all runs."`
}

// Run plays the seeds and fails if a guarantee was violated.
func (c *rolesCommand) Run(ctx context.Context) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	report, err := roles.Run(ctx, roles.Options{
		Program: c.Program, Template: c.Template, BusyCommand: []string{own, "busy"}, Seed: c.Seed, Runs: c.Runs, Duration: c.Each,
		Zones: c.Zones, Edges: c.Edges, Stores: c.Stores, Replicas: c.Replicas, OnlinePerSecond: c.Online, JobsPerSecond: c.Jobs,
		PreviousProgram: c.Before, ItemEvents: c.ItemEvents, EndingItems: c.EndingItems, CrashingRequests: c.CrashingRequests,
		Versions: c.Versions, StreamEvents: c.StreamEvents, UploadBytes: c.UploadBytes, BreakOffs: c.BreakOffs, UnusedPerSecond: c.Unused,
		FaultKinds: c.Only, KeepLogs: c.Keep,
	}, os.Stdout)
	if err != nil {
		return err
	}
	return conclude(report, report.Broken)
}

type busyCommand struct {
	For time.Duration `help:"Time after which the command ends." default:"60s"`
}

// Run keeps one core busy for the given time.
func (c *busyCommand) Run() error {
	for began := time.Now(); time.Since(began) < c.For; {
	}
	return nil
}
