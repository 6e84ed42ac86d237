package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound what one process logs.
	linesPerSecond = 300
	lineBurst      = 1500
	// queuedLines is how many lines wait for an output that does not drain.
	queuedLines = 2048
	// reportInterval is how often it is told how many lines were left out.
	reportInterval = time.Second
	// closeWait bounds the wait for the last lines at a stop.
	closeWait = 300 * time.Millisecond
)

// BoundedWriter passes lines on to an output without ever waiting for it. Lines over a rate, or that find the queue full, are
// left out and counted, and the count is told in a line of its own. It is safe for concurrent use.
type BoundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	leftOut atomic.Int64
	total   atomic.Int64

	closing sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer to out with the usual bounds; Close ends it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	writer := &BoundedWriter{
		out: out, limiter: rate.NewLimiter(linesPerSecond, lineBurst), lines: make(chan []byte, queuedLines),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write queues one line, or leaves it out.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if w.limiter.Allow() {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.leftOut.Add(1)
	w.total.Add(1)
	return len(line), nil
}

// LeftOut returns how many lines were left out since the start.
func (w *BoundedWriter) LeftOut() int64 { return w.total.Load() }

// Close writes what waits, as far as the output takes it soon.
func (w *BoundedWriter) Close() {
	w.closing.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ticker.C:
			w.report()
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *BoundedWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			w.report()
			return
		}
	}
}

// report tells how many lines were left out since the last report.
func (w *BoundedWriter) report() {
	if count := w.leftOut.Swap(0); count > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn message=log_lines_left_out count=%d\n", timestamp(time.Now()), count)
	}
}
