package deployment

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"text/template"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/settings"
	programs "github.com/sloelift/sloelift/lab/process"
)

// process is a running node.
type process interface {
	// stop is the planned stop; it returns when the node has ended.
	stop(ctx context.Context) error
	// kill ends the node without notice.
	kill()
	// pause suspends the node, or resumes it if paused is false.
	pause(paused bool)
	// setReachable limits the addresses that the node can reach; nil means no limit.
	setReachable(reachable func(netip.AddrPort) bool)
}

// inProcess is a node that runs in this process.
type inProcess struct {
	running   *node.Node
	severable *network.Severable
}

func startInProcess(
	ctx context.Context, own settings.Settings, logger zerolog.Logger, options []node.Option, reachable func(netip.AddrPort) bool,
) (process, error) {
	severable := network.NewSeverable(network.System{})
	severable.SetReachable(reachable)
	created, err := node.New(own, logger, append([]node.Option{node.WithNetwork(severable)}, options...)...)
	if err != nil {
		return nil, err
	}
	if err := created.Start(ctx); err != nil {
		return nil, err
	}
	return &inProcess{running: created, severable: severable}, nil
}

func (i *inProcess) stop(ctx context.Context) error { return i.running.Stop(ctx) }

func (i *inProcess) kill() {
	i.severable.Sever()
	i.running.Kill()
}

func (i *inProcess) pause(paused bool) {
	if paused {
		i.severable.Pause()
	} else {
		i.severable.Resume()
	}
}

func (i *inProcess) setReachable(reachable func(netip.AddrPort) bool) {
	i.severable.SetReachable(reachable)
}

// program is a node that runs as a process of its own. It does not support setReachable.
type program struct{ running *programs.Process }

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

// startProgram writes the settings file and starts the program at path. The program's output is appended to a log file, which is kept
// over restarts.
func startProgram(path, folder string, own settings.Settings) (process, error) {
	settingsPath := filepath.Join(folder, own.Node+".yaml")
	file, err := os.Create(settingsPath)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(settingsTemplate.Execute(file, own), file.Close()); err != nil {
		return nil, err
	}
	started, err := programs.Start(path, filepath.Join(folder, own.Node+".log"), "serve", "--settings", settingsPath)
	if err != nil {
		return nil, err
	}
	return &program{running: started}, nil
}

func (p *program) stop(ctx context.Context) error { return p.running.Stop(ctx) }

func (p *program) kill() { p.running.Kill() }

func (p *program) pause(paused bool) { p.running.Pause(paused) }

func (*program) setReachable(func(netip.AddrPort) bool) {}
