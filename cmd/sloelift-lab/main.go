// Command sloelift-lab runs a simulated environment for sloelift: engines, platform,
// load, faults, experiments and reports. See docs/operations/lab.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/sloelift/sloelift/lab/hollow"
	"github.com/sloelift/sloelift/lab/ledgerbench"
)

// Exit codes.
const (
	exitFailed   = 1
	exitWrongUse = 2
)

// errBroken means that an invariant was violated; the violations have been printed.
var errBroken = errors.New("an invariant broke")

type commandLine struct {
	Demo        demoCommand         `cmd:"" help:"Run a whole deployment under load for a while and judge it."`
	Up          upCommand           `cmd:"" help:"Run a whole deployment until interrupted."`
	Engine      engineCommand       `cmd:"" help:"Run one emulated engine."`
	Platform    platformCommand     `cmd:"" help:"Run the simulated key-value service, machine list and weight store."`
	Load        loadCommand         `cmd:"" help:"Play a load against nodes at given addresses."`
	Experiment  experimentCommand   `cmd:"" help:"Run fault scenarios, or compare policies."`
	Hollow      hollow.Command      `cmd:"" help:"Run the control code of many nodes without traffic and measure its cost."`
	LedgerBench ledgerbench.Command `cmd:"" help:"Measure appends and recovery of the ledger on one disk."`
	Soak        soakCommand         `cmd:"" help:"Play faults drawn from seeds on the real program, one process for each node."`
	Roles       rolesCommand        `cmd:"" help:"Play faults drawn from seeds on the roles that serve a platform, one process for each machine."`
	Busy        busyCommand         `cmd:"" hidden:"" help:"Keep one core busy."`
	Report      reportCommand       `cmd:"" help:"Turn JSON results into a page with plots."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var commands commandLine
	parser := kong.Must(&commands,
		kong.Name("sloelift-lab"),
		kong.Description("Model engines, platform, load, faults and experiments for sloelift."),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.UsageOnError(),
	)
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "sloelift-lab:", err)
		os.Exit(exitWrongUse)
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sloelift-lab:", err)
		stop()
		os.Exit(exitFailed)
	}
}

// conclude prints the report of a soak and returns errBroken if runs failed.
func conclude(report any, broken int) error {
	if err := printJSON(report); err != nil {
		return err
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
