package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	modelengine "github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/lab/deployment"
	labengine "github.com/sloelift/sloelift/lab/engine"
	"github.com/sloelift/sloelift/lab/histogram"
	"github.com/sloelift/sloelift/lab/load"
)

type engineCommand struct {
	Listen  netip.AddrPort `help:"Address to serve on." default:"127.0.0.1:9101"`
	Replica string         `help:"Name of the replica." default:"replica-1"`
	Profile string         `help:"Profile that gives the step time and the model." default:"registry"`
	LoadLag time.Duration  `help:"Age of load reports." default:"100ms"`
}

// Run serves until interrupted.
func (c *engineCommand) Run(ctx context.Context) error {
	profile, err := load.ProfileByName(c.Profile)
	if err != nil {
		return err
	}
	options := labengine.DefaultOptions(c.Replica, profile.StepBase)
	options.Models = []modelengine.LoadedModel{{Model: profile.Model, Version: "1", State: "ready"}}
	options.LoadLag = c.LoadLag
	emulated := labengine.New(options)
	if err := emulated.Start(c.Listen.String()); err != nil {
		return err
	}
	logger := logging.New(os.Stderr, zerolog.InfoLevel)
	logger.Info().Str(logging.FieldReplica, c.Replica).Str("address", emulated.Address().String()).Msg("engine_started")
	<-ctx.Done()
	emulated.Kill()
	return nil
}

type upCommand struct {
	runFlags
	Seed uint64 `help:"Seed of the stand-ins' faults." default:"1"`
}

// Run starts a deployment, prints its addresses and keeps it running until interrupted.
func (c *upCommand) Run(ctx context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "sloelift-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	fleet := deployment.DefaultOptions(options.Profile, folder, c.Seed)
	fleet.Logger = logging.New(os.Stderr, options.LogLevel)
	running, err := deployment.Start(ctx, fleet)
	if err != nil {
		return err
	}
	defer running.Close()
	for _, node := range running.Nodes {
		fmt.Printf("node %s callers=%s admin=%s peers=%s store=%t\n", node.ID,
			node.Settings.CallerAddress, node.Settings.AdminAddress, node.Settings.PeerAddress, node.Settings.DataFolder != "")
	}
	for _, replica := range running.Replicas {
		fmt.Printf("replica %s zone=%s engine=%s\n", replica.ID, replica.Zone, replica.Engine.Address())
	}
	fmt.Printf("platform control=%s\nbearer key %s\n", running.Platform.ControlAddress(), load.TenantKey)
	<-ctx.Done()
	return nil
}

type loadCommand struct {
	Nodes    []netip.AddrPort `help:"Callers' addresses of nodes." required:""`
	Profile  string           `help:"Profile of the arrivals." default:"registry"`
	Duration time.Duration    `help:"How long work arrives." default:"15s"`
	Drain    time.Duration    `help:"How long to wait for unfinished work." default:"60s"`
	Seed     uint64           `help:"Seed of the arrivals." default:"1"`
}

// Run plays a load and checks the responses. Since the engines' records are not
// available, the number of runs of marked requests is not checked.
func (c *loadCommand) Run(ctx context.Context) error {
	profile, err := load.ProfileByName(c.Profile)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, c.Duration+c.Drain)
	defer cancel()
	plan := load.NewPlan(profile, c.Duration, c.Seed)
	seen := load.NewRunner(plan, func() []netip.AddrPort { return c.Nodes }).Run(bounded)
	verdict := load.Judge(seen, nil, load.Expectations{ConnectionsMayBreak: true})
	if err := printJSON(struct {
		Verdict    load.Verdict           `json:"verdict"`
		FirstToken histogram.Distribution `json:"online_first_token"`
		InterToken histogram.Distribution `json:"online_inter_token"`
	}{verdict, seen.FirstToken, seen.InterToken}); err != nil {
		return err
	}
	if verdict.Failed() {
		return errBroken
	}
	return nil
}
