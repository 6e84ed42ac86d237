package roles

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/lab/process"
)

// Ports of a machine; they are alike on all.
const (
	portCallers   = 8161
	portReadiness = 8162
	portAdmin     = 8166
	portPeers     = 7720
	portMetrics   = 7735
)

// Classes of machines, as the settings name them.
const (
	classEdge    = "edge"
	classStorage = "storage"
)

// machine is a place with one process of the program.
type machine struct {
	name, class, zone string
	ip                netip.Addr
	program           string
	settingsPath      string
	logPath           string
	// dataFolder is empty on edges.
	dataFolder string

	// changing is held while the process is started or ended, so that faults that overlap follow each other and never meet on a port.
	changing sync.Mutex
	// mutex guards the process; it is nil while the machine is down. It is taken after changing.
	mutex   sync.Mutex
	running *process.Process
	// starts are when processes were started.
	starts []time.Time
	// killedAfterGrace counts the planned stops that took longer than the platform's grace.
	killedAfterGrace atomic.Int32
	// writeSettings is called before each start, since the settings may differ by then.
	writeSettings func() error
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// start starts the process unless it runs.
func (m *machine) start() error {
	m.changing.Lock()
	defer m.changing.Unlock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil {
		return nil
	}
	if err := m.writeSettings(); err != nil {
		return err
	}
	started, err := process.Start(m.program, m.logPath, "serve", "--settings", m.settingsPath)
	if err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	m.running = started
	m.starts = append(m.starts, time.Now())
	return nil
}

// startedWithin says that a process was started within span before then.
func (m *machine) startedWithin(span time.Duration, then time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.ContainsFunc(m.starts, func(at time.Time) bool { return at.Before(then) && then.Sub(at) < span })
}

// String returns the machine's name.
func (m *machine) String() string { return m.name }

// upgrade has the next start run another program.
func (m *machine) upgrade(program string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.program = program
}

func (m *machine) take() *process.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.running
	m.running = nil
	return taken
}

// kill ends the process without a word.
func (m *machine) kill() {
	m.changing.Lock()
	defer m.changing.Unlock()
	m.killHeld()
}

// killHeld is kill for those who hold changing.
func (m *machine) killHeld() {
	if taken := m.take(); taken != nil {
		taken.Kill()
	}
}

// stop is the planned stop, with the platform's grace.
func (m *machine) stop(ctx context.Context) error {
	m.changing.Lock()
	defer m.changing.Unlock()
	taken := m.take()
	if taken == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	// A fault that holds the process back no longer finds it here to let it go on.
	taken.Pause(false)
	err := taken.Stop(bounded)
	if errors.Is(err, process.ErrKilled) && ctx.Err() == nil {
		// The platform does the same to a process that needs longer than its grace; on a busy machine it may.
		m.killedAfterGrace.Add(1)
		return nil
	}
	return err
}

func (m *machine) pause(paused bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running != nil {
		m.running.Pause(paused)
	}
}

// ownEnd says that the process ended though nobody here ended it.
func (m *machine) ownEnd() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return false
	}
	select {
	case <-m.running.Ended():
		return true
	default:
		return false
	}
}

// loseDisk kills the process and empties the data folder.
func (m *machine) loseDisk() error {
	m.changing.Lock()
	defer m.changing.Unlock()
	m.killHeld()
	if err := os.RemoveAll(m.dataFolder); err != nil {
		return err
	}
	return os.MkdirAll(m.dataFolder, 0o755)
}

// throttle lets the process run for only a share of each period, until ctx ends, as a quota of processor time does.
func (m *machine) throttle(ctx context.Context, share float64) {
	const period = 100 * time.Millisecond
	running := time.Duration(share * float64(period))
	defer m.pause(false)
	for ctx.Err() == nil {
		m.pause(true)
		pause.Sleep(ctx, period-running)
		m.pause(false)
		pause.Sleep(ctx, running)
	}
}

// loopback returns the loopback address of a machine; deployments of different processes do not share one.
func loopback(number int) netip.Addr {
	process := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 64 + byte(process>>8&0x3f), byte(process), byte(number + 1)})
}

func (m *machine) paths(folder string) {
	m.settingsPath = filepath.Join(folder, m.name+".conf")
	m.logPath = filepath.Join(folder, m.name+".log")
	if m.class == classStorage {
		m.dataFolder = filepath.Join(folder, m.name+".data")
	}
}
