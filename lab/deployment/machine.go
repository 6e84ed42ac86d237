package deployment

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/node"
	"github.com/sloelift/sloelift/internal/settings"
	labengine "github.com/sloelift/sloelift/lab/engine"
)

// Replica is one engine with its zone.
type Replica struct {
	ID     string
	Zone   string
	Engine *labengine.Engine
}

// Node is one node of the deployment; its process can end and start anew.
type Node struct {
	ID       string
	Zone     string
	Settings settings.Settings
	options  []node.Option
	logger   zerolog.Logger
	// program is run for the node; where it is empty the node runs in this process.
	program string
	// folder is for the program's settings and log.
	folder string

	// mutex guards all below. serving says that callers may use the node.
	mutex     sync.Mutex
	running   process
	serving   bool
	reachable func(netip.AddrPort) bool
}

// start builds and starts the node's process; callers are sent there once it serves.
func (n *Node) start(ctx context.Context) error {
	started, err := n.startProcess(ctx)
	if err != nil {
		return fmt.Errorf("start node %s: %w", n.ID, err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.running = started
	return nil
}

func (n *Node) startProcess(ctx context.Context) (process, error) {
	if n.program != "" {
		return startProgram(n.program, n.folder, n.Settings)
	}
	n.mutex.Lock()
	reachable := n.reachable
	n.mutex.Unlock()
	return startInside(ctx, n.Settings, n.logger, n.options, reachable)
}

// stop is the planned stop: callers are sent elsewhere first, as a load balancer does.
func (n *Node) stop(ctx context.Context) error {
	running := n.take()
	if running == nil {
		return nil
	}
	return running.stop(ctx)
}

// kill ends the process as a machine that vanishes does.
func (n *Node) kill() {
	if running := n.take(); running != nil {
		running.kill()
	}
}

func (n *Node) take() process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	running := n.running
	n.running, n.serving = nil, false
	return running
}

// IsServing tells whether callers are sent to the node.
func (n *Node) IsServing() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.serving
}

func (n *Node) setServing(serving bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.serving = serving && n.running != nil
}

// pause holds back all that the node does or sends; with false it goes on.
func (n *Node) pause(paused bool) {
	n.mutex.Lock()
	running := n.running
	n.mutex.Unlock()
	if running != nil {
		running.pause(paused)
	}
}

// setReachable limits whom the node can reach; nil is everybody.
func (n *Node) setReachable(reachable func(netip.AddrPort) bool) {
	n.mutex.Lock()
	n.reachable = reachable
	running := n.running
	n.mutex.Unlock()
	if running != nil {
		running.setReachable(reachable)
	}
}

// loseDisk empties the data folder; the node must not run.
func (n *Node) loseDisk() error {
	entries, err := os.ReadDir(n.Settings.DataFolder)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(n.Settings.DataFolder, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// Nodes listen on addresses of their own, so that no outgoing connection, which takes a
// port of 127.0.0.1 above the range below, is in the way when a node starts anew.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddresses returns loopback addresses that were free a moment ago. Processes that run
// at once use different numbers in 127.0.0.0/8.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	process := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 1 + byte(process>>16&0x3f), byte(process >> 8), byte(process)})
	addresses := make([]netip.AddrPort, 0, count)
	for port := uint16(firstPort); port < lastPort && len(addresses) < count; port++ {
		address := netip.AddrPortFrom(host, port)
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer listener.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < count {
		return nil, fmt.Errorf("fewer than %d free ports on %s", count, host)
	}
	return addresses, nil
}
