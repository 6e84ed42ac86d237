package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/operator"
)

// withdrawCommand removes one declaration and shows what uses it.
type withdrawCommand struct {
	Kind           string `arg:"" help:"Model, Service, Priority, Tenant or Job."`
	Name           string `arg:"" help:"Name of the declaration."`
	ExpectRevision *int64 `placeholder:"N" help:"Refuse unless the configuration is at this revision."`
	Force          bool   `help:"Withdraw although running jobs need it."`
}

// withdrawOutput is the command's output as JSON.
type withdrawOutput struct {
	config.ApplyResult
	Uses operator.Uses `json:"uses"`
}

// Run implements the command.
func (c *withdrawCommand) Run(env *environment) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	id := config.ID{Kind: kind, Name: c.Name}
	uses, err := env.client.Uses(env.context, id)
	if err != nil && !c.Force {
		return fmt.Errorf("what runs on %s is not known (--force withdraws all the same): %w", id, err)
	}
	if !env.json {
		writeUses(env.stdout, uses)
	}
	result, err := env.client.Withdraw(env.context, id, expectedRevision(c.ExpectRevision), c.Force)
	if err != nil {
		return err
	}
	return env.print(withdrawOutput{result, uses}, func(out io.Writer) {
		fmt.Fprintf(out, "withdrew %s, revision %d\n", id, result.Revision)
	})
}

func writeUses(out io.Writer, uses operator.Uses) {
	if len(uses.Declarations) > 0 {
		fmt.Fprintf(out, "named by: %s\n", strings.Join(uses.Declarations, ", "))
	}
	if len(uses.Replicas) > 0 {
		fmt.Fprintf(out, "served by %d replicas: %s\n", len(uses.Replicas), strings.Join(uses.Replicas, ", "))
	}
	for _, running := range uses.Jobs {
		fmt.Fprintf(out, "needed by job %s of %s: %s, %d of %d items\n", running.ID, running.Tenant, running.Phase, running.Completed, running.Total)
	}
}
