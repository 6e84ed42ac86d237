package roles

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/lab/process"
)

// Ports of a machine, the same on every machine.
const (
	portCallers   = 8161
	portReadiness = 8162
	portAdmin     = 8166
	portPeers     = 7720
	portMetrics   = 7735
)

// Classes of machines, with the values that the settings use.
const (
	classEdge    = "edge"
	classStorage = "storage"
)

// machine has an address of its own and runs at most one process of the program.
type machine struct {
	name, class, zone string
	ip                netip.Addr
	program           string
	settingsPath      string
	logPath           string
	// dataFolder is empty on edges.
	dataFolder string

	// lifecycle is held while the process is started or ended, so that overlapping faults are serialized and two processes never compete
	// for a port.
	lifecycle sync.Mutex
	// mutex guards program, running, startTimes, upgradedAt and upgrading. Lock order: lifecycle before mutex.
	mutex sync.Mutex
	// running is nil while the machine is down.
	running *process.Process
	// startTimes and endTimes are the times at which processes were started and ended; upgradedAt is the first of them with the upgraded program, zero before.
	startTimes []time.Time
	endTimes   []time.Time
	upgradedAt time.Time
	upgrading  bool
	// killedAfterGrace counts the planned stops that exceeded the platform's grace period.
	killedAfterGrace atomic.Int32
	// writeSettings is called before each start, since the settings may have changed since the last one.
	writeSettings func() error
}

func (m *machine) address(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// start starts the process unless it is running.
func (m *machine) start() error {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
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
	now := time.Now()
	m.startTimes = append(m.startTimes, now)
	if m.upgrading {
		m.upgrading, m.upgradedAt = false, now
	}
	return nil
}

// startedWithin reports whether a process was started within span before then.
func (m *machine) startedWithin(span time.Duration, then time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.ContainsFunc(m.startTimes, func(at time.Time) bool { return at.Before(then) && then.Sub(at) < span })
}

// ranThroughout reports whether one process of the machine ran from from to to.
func (m *machine) ranThroughout(from, to time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	within := func(at time.Time) bool { return !at.Before(from) && !at.After(to) }
	if slices.ContainsFunc(m.startTimes, within) || slices.ContainsFunc(m.endTimes, within) {
		return false
	}
	before := func(times []time.Time) (last time.Time) {
		for _, at := range times {
			if at.Before(from) {
				last = at
			}
		}
		return last
	}
	return before(m.startTimes).After(before(m.endTimes))
}

// String returns the machine's name.
func (m *machine) String() string { return m.name }

// upgrade sets the program for the next start.
func (m *machine) upgrade(program string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.program, m.upgrading = program, true
}

// upgradeTime returns when the upgraded program was started; zero if it was not.
func (m *machine) upgradeTime() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.upgradedAt
}

// detach marks the machine as down and returns its process, nil if there is none.
func (m *machine) detach() *process.Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.running
	m.running = nil
	if taken != nil {
		m.endTimes = append(m.endTimes, time.Now())
	}
	return taken
}

// kill ends the process with SIGKILL.
func (m *machine) kill() {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	m.killLocked()
}

// killLocked is kill for callers that hold lifecycle.
func (m *machine) killLocked() {
	if detached := m.detach(); detached != nil {
		detached.Kill()
	}
}

// stop is a planned stop: SIGTERM, then SIGKILL after the platform's grace period.
func (m *machine) stop(ctx context.Context) error {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	detached := m.detach()
	if detached == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, gracePeriod)
	defer cancel()
	// A fault that has paused the process can no longer resume it, since the machine no longer refers to it.
	detached.Pause(false)
	err := detached.Stop(bounded)
	if errors.Is(err, process.ErrKilled) && ctx.Err() == nil {
		// Not an error: the platform kills a process that exceeds its grace period as well, and on a busy machine a process may.
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

// exitedByItself reports whether the process exited without having been stopped or killed here.
func (m *machine) exitedByItself() bool {
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

// peakMemory returns the largest resident size of the running process in bytes, 0 if it is not known.
func (m *machine) peakMemory() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.running.ID()))
	if err != nil {
		return 0
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	_, _ = fmt.Sscan(peak, &kilobytes)
	return kilobytes << 10
}

// loseDisk kills the process and empties the data folder.
func (m *machine) loseDisk() error {
	m.lifecycle.Lock()
	defer m.lifecycle.Unlock()
	m.killLocked()
	if err := os.RemoveAll(m.dataFolder); err != nil {
		return err
	}
	return os.MkdirAll(m.dataFolder, 0o755)
}

// throttle lets the process run for only a share of each period until ctx ends, like a CPU quota.
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

// loopback returns the loopback address of a machine. It depends on the process id, so that deployments of different processes do not
// share addresses.
func loopback(number int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 64 + byte(pid>>8&0x3f), byte(pid), byte(number + 1)})
}

// setPaths sets the machine's file paths below folder.
func (m *machine) setPaths(folder string) {
	m.settingsPath = filepath.Join(folder, m.name+".conf")
	m.logPath = filepath.Join(folder, m.name+".log")
	if m.class == classStorage {
		m.dataFolder = filepath.Join(folder, m.name+".data")
	}
}
