package hollow

import (
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/sloelift/sloelift/lab/platform"
)

// reading holds the cumulative resource usage at one point in time.
type reading struct {
	takenAt  time.Time
	cpu      time.Duration
	nodes    []usage
	keyValue int64
}

func (w *world) read() reading {
	current := reading{takenAt: time.Now(), cpu: processTime(), keyValue: keyValueCalls(w.platform)}
	for _, metered := range w.nodes {
		current.nodes = append(current.nodes, metered.totalUsage())
	}
	return current
}

// processTime returns the CPU time of all threads of this process.
func processTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err) // Getrusage fails only for invalid arguments.
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func keyValueCalls(server *platform.Server) int64 {
	var calls int64
	for operation, count := range server.Counters() {
		if strings.HasPrefix(string(operation), "key-value.") {
			calls += count.Calls
		}
	}
	return calls
}

// phaseBetween computes the rates between two readings.
func phaseBetween(name string, before, after reading) Phase {
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	phase := Phase{
		Name: name, Seconds: seconds, Changes: make(map[string]float64),
		KeyValuePerSecond: float64(after.keyValue-before.keyValue) / seconds,
	}
	count := len(after.nodes)
	byMethod, bySlice := newColumns(count), newColumns(count)
	totals, frames := make([]float64, count), make([]float64, count)
	var allFrames float64
	for number, now := range after.nodes {
		then := before.nodes[number]
		for method, bytes := range now.bytes {
			rate := (bytes - then.bytes[method]) / seconds
			byMethod.set(method, number, rate)
			totals[number] += rate
		}
		for slice, busy := range now.busy {
			bySlice.set(slice, number, (busy-then.busy[slice]).Seconds()/seconds)
		}
		for kind, count := range now.changes {
			phase.Changes[kind] += count - then.changes[kind]
		}
		frames[number] = now.frames - then.frames
		allFrames += frames[number]
	}
	shares := make([]float64, count)
	for number, handled := range frames {
		shares[number] = (after.cpu - before.cpu).Seconds() / seconds * handled / max(allFrames, 1)
	}
	phase.CPUShare, phase.BytesPerSecond = spreadOf(shares), spreadOf(totals)
	phase.ByMethod, phase.BusyShare = byMethod.spreads(), bySlice.spreads()
	return phase
}

// columns holds one figure per node for each name, 0 by default.
type columns struct {
	nodes  int
	byName map[string][]float64
}

func newColumns(nodes int) columns {
	return columns{nodes: nodes, byName: make(map[string][]float64)}
}

func (c columns) set(name string, node int, value float64) {
	if c.byName[name] == nil {
		c.byName[name] = make([]float64, c.nodes)
	}
	c.byName[name][node] = value
}

func (c columns) spreads() map[string]Spread {
	spreads := make(map[string]Spread, len(c.byName))
	for name, values := range c.byName {
		spreads[name] = spreadOf(values)
	}
	return spreads
}

// memoryInUse returns the bytes of live heap and of stacks after a garbage collection.
func memoryInUse() (heap, stacks float64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc), float64(stats.StackInuse)
}
