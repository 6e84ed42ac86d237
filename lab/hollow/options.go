package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Options of a run.
type Options struct {
	Nodes    int `help:"Number of nodes." default:"320"`
	Replicas int `help:"Number of replicas that the nodes watch." default:"1700"`
	Zones    int `help:"Zones; node i is in zone i mod zones." default:"7"`
	Regions  int `help:"Regions; zone z is in region z mod regions." default:"3"`
	Tenants  int `help:"Tenants in the configuration." default:"300"`
	// Duration is the duration of the measured part; the nodes start and settle before it.
	Duration time.Duration `help:"Duration of the measured part." default:"60s"`
	// StartOver is the time over which the starts are spread, since nodes that start at the
	// same time would starve each other of the machine's cores.
	StartOver time.Duration `help:"Time over which the nodes start." default:"10s"`
	// RestartsPerDay and FailuresPerDay are totals over all nodes.
	RestartsPerDay float64       `help:"Planned restarts per day, over all nodes." default:"41000"`
	FailuresPerDay float64       `help:"Machine failures per day, over all nodes." default:"1700"`
	ConfigInterval time.Duration `help:"Time between configuration changes." default:"2s"`
	// Faults adds the loss of a zone and the isolation of a region.
	Faults bool `help:"Lose a zone and isolate a region during the run." default:"true" negatable:""`
	// Fleet runs the fleet slice as well. Without it a run measures membership and
	// configuration only, which fits on machines that are too small for both.
	Fleet bool   `help:"Run the fleet slice." default:"true" negatable:""`
	Seed  uint64 `help:"Seed of the random choices." default:"1"`
}

// Command is the kong command that runs hollow nodes and prints their cost.
type Command struct {
	Options `embed:""`
	JSON    bool `help:"Print one JSON object." name:"json"`
}

// Run runs the command.
func (c *Command) Run(ctx context.Context) error {
	result, err := Run(ctx, c.Options)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return result.print(os.Stdout)
}

func (o Options) check() error {
	switch {
	case o.Nodes < o.Zones || o.Zones < o.Regions || o.Regions < 1:
		return fmt.Errorf("%d nodes, %d zones and %d regions: each zone needs a node and each region a zone", o.Nodes, o.Zones, o.Regions)
	case o.Nodes > maxNodes || o.Replicas > maxReplicas || o.Replicas < 0:
		return fmt.Errorf("at most %d nodes and %d replicas", maxNodes, maxReplicas)
	case o.Duration < minDuration:
		return fmt.Errorf("the duration must be at least %s", minDuration)
	}
	return nil
}

const (
	maxNodes    = 2000
	maxReplicas = 20000
	minDuration = 10 * time.Second
)
