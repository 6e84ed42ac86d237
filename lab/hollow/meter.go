package hollow

import (
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/sloelift/sloelift/lab/platform"
)

// reading is what has been used up to one moment.
type reading struct {
	at       time.Time
	cpu      time.Duration
	nodes    []usage
	keyValue int64
}

func (w *world) read() reading {
	taken := reading{at: time.Now(), cpu: processTime(), keyValue: keyValueCalls(w.platform)}
	for _, each := range w.nodes {
		taken.nodes = append(taken.nodes, each.used())
	}
	return taken
}

// processTime is the CPU time of this process, of all threads.
func processTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		panic(err) // The call has no other reason to fail than a wrong argument.
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

// phaseBetween works out the rates between two readings.
func phaseBetween(name string, before, after reading) Phase {
	seconds := after.at.Sub(before.at).Seconds()
	phase := Phase{
		Name: name, Seconds: seconds, ByMethod: make(map[string]Spread),
		KeyValuePerSecond: float64(after.keyValue-before.keyValue) / seconds,
	}
	byMethod := make(map[string][]float64)
	var totals, frames []float64
	var allFrames float64
	for number := range after.nodes {
		var total float64
		for method, bytes := range after.nodes[number].bytes {
			rate := (bytes - before.nodes[number].bytes[method]) / seconds
			total += rate
			if byMethod[method] == nil {
				byMethod[method] = make([]float64, len(after.nodes))
			}
			byMethod[method][number] = rate
		}
		totals = append(totals, total)
		frames = append(frames, after.nodes[number].frames-before.nodes[number].frames)
		allFrames += frames[number]
	}
	shares := make([]float64, len(frames))
	for number, count := range frames {
		shares[number] = (after.cpu - before.cpu).Seconds() / seconds * count / max(allFrames, 1)
	}
	phase.CPUShare, phase.BytesPerSecond = spreadOf(shares), spreadOf(totals)
	for method, rates := range byMethod {
		phase.ByMethod[method] = spreadOf(rates)
	}
	return phase
}

// memoryInUse is the live heap and the stacks of the process after a collection.
func memoryInUse() (heap, stacks float64) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc), float64(stats.StackInuse)
}
