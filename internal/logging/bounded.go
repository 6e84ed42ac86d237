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
	// linesPerSecond and lineBurst limit the log lines of one process.
	linesPerSecond = 300
	lineBurst      = 1500
	// queueLines is the maximum number of lines queued for an output that blocks.
	queueLines = 2048
	// reportInterval is the interval of the lines that report the number of dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds the writing of the queued lines by Close.
	closeTimeout = 300 * time.Millisecond
)

// BoundedWriter writes lines to an output without ever blocking its callers. Lines above the rate limit, or for which the queue is full,
// are dropped and counted, and the count is logged in a line of its own. It is safe for concurrent use.
type BoundedWriter struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	// unreported counts the lines dropped since the last report, totalDropped all dropped lines.
	unreported   atomic.Int64
	totalDropped atomic.Int64

	closeOnce sync.Once
	stop      chan struct{}
	done      chan struct{}
}

// NewBoundedWriter returns a writer to out with the limits above. It must be closed.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	writer := &BoundedWriter{
		out: out, limiter: rate.NewLimiter(linesPerSecond, lineBurst), lines: make(chan []byte, queueLines),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write queues or drops one line; it never returns an error.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if w.limiter.Allow() {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.unreported.Add(1)
	w.totalDropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *BoundedWriter) Dropped() int64 { return w.totalDropped.Load() }

// Close writes the queued lines, as far as the output accepts them within closeTimeout.
func (w *BoundedWriter) Close() {
	w.closeOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
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

// report logs the number of lines dropped since the last report, if there are any.
func (w *BoundedWriter) report() {
	if count := w.unreported.Swap(0); count > 0 {
		_, _ = fmt.Fprintf(w.out, "time=%s level=warn message=log_lines_left_out count=%d\n", timestamp(time.Now()), count)
	}
}
