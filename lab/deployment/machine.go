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

// Replica is an engine and its zone.
type Replica struct {
	ID     string
	Zone   string
	Engine *labengine.Engine
}

// Node is one node of the deployment, whose process can be stopped and started again.
type Node struct {
	ID       string
	Zone     string
	Settings settings.Settings
	options  []node.Option
	logger   zerolog.Logger
	// program is the path of the node's program; if empty, the node runs in this process.
	program string
	// folder holds the program's settings and log.
	folder string

	// mutex guards the fields below. serving is set if callers may use the node.
	mutex     sync.Mutex
	running   process
	serving   bool
	reachable func(netip.AddrPort) bool
}

// start starts the node's process. Callers use the node once it is set to serving.
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
	return startInProcess(ctx, n.Settings, n.logger, n.options, reachable)
}

// stop is the planned stop: like a load balancer, it sends callers to other nodes first.
func (n *Node) stop(ctx context.Context) error {
	running := n.detach()
	if running == nil {
		return nil
	}
	return running.stop(ctx)
}

// kill ends the process like the loss of its machine.
func (n *Node) kill() {
	if running := n.detach(); running != nil {
		running.kill()
	}
}

// detach marks the node as down and returns its process, nil if there is none.
func (n *Node) detach() process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	running := n.running
	n.running, n.serving = nil, false
	return running
}

// IsServing reports whether callers may use the node.
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

// pause suspends the node's process, or resumes it if paused is false.
func (n *Node) pause(paused bool) {
	n.mutex.Lock()
	running := n.running
	n.mutex.Unlock()
	if running != nil {
		running.pause(paused)
	}
}

// setReachable limits the addresses that the node can reach; nil means no limit.
func (n *Node) setReachable(reachable func(netip.AddrPort) bool) {
	n.mutex.Lock()
	n.reachable = reachable
	running := n.running
	n.mutex.Unlock()
	if running != nil {
		running.setReachable(reachable)
	}
}

// loseDisk empties the data folder. The node must not be running.
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

// Range of the ports on which nodes listen. Outgoing connections use ports of 127.0.0.1
// above it and nodes have other host addresses, so that no connection occupies a node's
// port when the node restarts.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freeAddresses returns loopback addresses that were free when checked. Concurrent processes
// use different hosts in 127.0.0.0/8.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 1 + byte(pid>>16&0x3f), byte(pid >> 8), byte(pid)})
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
