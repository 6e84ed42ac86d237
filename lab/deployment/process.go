package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"text/template"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/settings"
)

// process is a running node.
type process interface {
	// stop is the planned stop; it returns when the process has ended.
	stop(ctx context.Context) error
	// kill ends it without a goodbye.
	kill()
	// pause holds it back; with false it goes on.
	pause(paused bool)
	// setReachable limits whom it can reach; nil is everybody.
	setReachable(reachable func(netip.AddrPort) bool)
}

// inside is a node that runs in this process.
type inside struct {
	running   *node.Node
	severable *network.Severable
}

func startInside(ctx context.Context, own settings.Settings, logger zerolog.Logger, options []node.Option, reachable func(netip.AddrPort) bool) (process, error) {
	severable := network.NewSeverable(network.System{})
	severable.SetReachable(reachable)
	created, err := node.New(own, logger, append([]node.Option{node.WithNetwork(severable)}, options...)...)
	if err != nil {
		return nil, err
	}
	if err := created.Start(ctx); err != nil {
		return nil, err
	}
	return &inside{running: created, severable: severable}, nil
}

func (i *inside) stop(ctx context.Context) error { return i.running.Stop(ctx) }

func (i *inside) kill() {
	i.severable.Sever()
	i.running.Kill()
}

func (i *inside) pause(paused bool) {
	if paused {
		i.severable.Pause()
	} else {
		i.severable.Resume()
	}
}

func (i *inside) setReachable(reachable func(netip.AddrPort) bool) {
	i.severable.SetReachable(reachable)
}

// program is a node that runs as a process of its own. Whom it reaches cannot be limited.
type program struct {
	command *exec.Cmd
	// ended is closed when the process has ended, with failure.
	ended   chan struct{}
	failure error
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node: {{.Node}}
region: {{.Region}}
zone: {{.Zone}}
callerAddress: {{.CallerAddress}}
adminAddress: {{.AdminAddress}}
peerAddress: {{.PeerAddress}}
seedPeers: [{{range $index, $seed := .SeedPeers}}{{if $index}}, {{end}}"{{$seed}}"{{end}}]
{{if .DataFolder}}dataFolder: {{.DataFolder}}
{{end}}platform:
  keyValue: [{{range $index, $each := .Platform.KeyValue}}{{if $index}}, {{end}}"{{$each}}"{{end}}]
  machineList: {{.Platform.MachineList}}
  weightStore: {{.Platform.WeightStore}}
ledger:
  partitions: {{.Ledger.Partitions}}
  replicas: {{.Ledger.Replicas}}
  writeQuorum: {{.Ledger.WriteQuorum}}
logLevel: {{.LogLevel}}
`))

// startProgram starts the program at path with a settings file; its output goes to a file that stays over restarts.
func startProgram(path, folder string, own settings.Settings) (process, error) {
	settingsPath := filepath.Join(folder, own.Node+".yaml")
	file, err := os.Create(settingsPath)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(settingsTemplate.Execute(file, own), file.Close()); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(folder, own.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(path, "serve", "--settings", settingsPath)
	command.Stdout, command.Stderr = output, output
	err = command.Start()
	// The process has its own descriptor of the file.
	_ = output.Close()
	if err != nil {
		return nil, err
	}
	started := &program{command: command, ended: make(chan struct{})}
	go func() {
		started.failure = command.Wait()
		close(started.ended)
	}()
	return started, nil
}

func (p *program) stop(ctx context.Context) error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("signal the process to stop: %w", err)
	}
	select {
	case <-p.ended:
		return p.failure
	case <-ctx.Done():
		p.kill()
		return fmt.Errorf("the process does not stop: %w", ctx.Err())
	}
}

func (p *program) kill() {
	// A process that has ended by itself is no failure here; its absence shows in what callers see.
	_ = p.command.Process.Kill()
	<-p.ended
}

func (p *program) pause(paused bool) {
	signal := syscall.SIGCONT
	if paused {
		signal = syscall.SIGSTOP
	}
	// A process that has ended stands still already.
	_ = p.command.Process.Signal(signal)
}

func (*program) setReachable(func(netip.AddrPort) bool) {}
