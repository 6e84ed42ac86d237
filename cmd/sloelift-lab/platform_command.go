package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
	labplatform "github.com/sloelift/sloelift/lab/platform"
)

type platformCommand struct {
	Listen         netip.AddrPort `help:"Address of the three services." default:"127.0.0.1:9001"`
	Control        netip.AddrPort `help:"Address of the control port." default:"127.0.0.1:9002"`
	Machines       string         `help:"JSON file with the machine list." type:"existingfile" optional:""`
	MachineListLag time.Duration  `help:"Lag of the machine list." default:"500ms"`
	Weights        []string       `help:"Stored weights, as name=version."`
	Seed           uint64         `help:"Seed of the faults." default:"1"`
}

// Run serves until interrupted.
func (c *platformCommand) Run(ctx context.Context) error {
	options := labplatform.Options{
		Seed:            c.Seed,
		ListenAddresses: map[string]netip.AddrPort{labplatform.AnyZone: c.Listen},
		ControlAddress:  c.Control,
		MachineListLag:  c.MachineListLag,
	}
	if c.Machines != "" {
		content, err := os.ReadFile(c.Machines)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(content, &options.Machines); err != nil {
			return fmt.Errorf("%s: %w", c.Machines, err)
		}
	}
	for _, stored := range c.Weights {
		weights, err := parseWeights(stored)
		if err != nil {
			return err
		}
		options.Weights = append(options.Weights, weights)
	}
	return labplatform.NewServer(options).Run(ctx)
}

func parseWeights(text string) (port.Weights, error) {
	name, version, found := strings.Cut(text, "=")
	if !found {
		return port.Weights{}, fmt.Errorf("weights %q: must have the form name=version", text)
	}
	return port.Weights{Name: name, Version: version}, nil
}
