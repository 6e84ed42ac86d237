package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// serveCommand runs one node until SIGTERM or SIGINT, which start a planned stop. A
// second signal ends the process immediately.
type serveCommand struct {
	Settings      string         `required:"" placeholder:"FILE" help:"Settings file."`
	Node          string         `help:"Overrides the file's node."`
	Region        string         `help:"Overrides the file's region."`
	Zone          string         `help:"Overrides the file's zone."`
	CallerAddress netip.AddrPort `placeholder:"IP:PORT" help:"Overrides the file's callerAddress."`
	AdminAddress  netip.AddrPort `placeholder:"IP:PORT" help:"Overrides the file's adminAddress."`
	PeerAddress   netip.AddrPort `placeholder:"IP:PORT" help:"Overrides the file's peerAddress."`
	DataFolder    string         `placeholder:"FOLDER" help:"Overrides the file's dataFolder."`
	LogLevel      string         `placeholder:"LEVEL" help:"Overrides the file's logLevel."`
}

// Run implements the command.
func (c *serveCommand) Run(env *environment) error {
	loaded, err := settings.Load(c.Settings, settings.Overrides{
		Node: c.Node, Region: c.Region, Zone: c.Zone,
		CallerAddress: c.CallerAddress, AdminAddress: c.AdminAddress, PeerAddress: c.PeerAddress,
		DataFolder: c.DataFolder, LogLevel: c.LogLevel,
	})
	var invalid *strictyaml.ValidationError
	if err != nil && !errors.As(err, &invalid) {
		return &usageError{err.Error()}
	}
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(loaded.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	if loaded.Role == settings.RoleNode {
		if err := checkAddresses(env.context, loaded); err != nil {
			return err
		}
	}
	ctx, restore := signal.NotifyContext(env.context, syscall.SIGTERM, syscall.SIGINT)
	defer restore()
	go func() {
		<-ctx.Done()
		restore()
	}()
	if loaded.Role != settings.RoleNode {
		output := logging.NewBoundedWriter(env.stderr)
		defer output.Close()
		return dig.RootCause(runRole(ctx, c.Settings, loaded, logging.New(output, level)))
	}
	return dig.RootCause(node.Run(ctx, loaded, logging.New(env.stderr, level)))
}

// checkAddresses binds and releases the node's own addresses, so that a node that cannot
// listen fails before it joins the other nodes.
func checkAddresses(ctx context.Context, own settings.Settings) error {
	addresses := []struct {
		setting string
		address netip.AddrPort
	}{{"callerAddress", own.CallerAddress}, {"adminAddress", own.AdminAddress}, {"peerAddress", own.PeerAddress}}
	for _, wanted := range addresses {
		listener, err := network.System{}.Listen(ctx, wanted.address)
		if err != nil {
			return fmt.Errorf("%s: %w", wanted.setting, err)
		}
		if err := listener.Close(); err != nil {
			return fmt.Errorf("%s: %w", wanted.setting, err)
		}
	}
	return nil
}
