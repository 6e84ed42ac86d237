package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput blocks writes until it is released.
type blockedOutput struct {
	released chan struct{}
	mutex    sync.Mutex
	written  bytes.Buffer
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.released
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.Write(line)
}

func (o *blockedOutput) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.written.String()
}

// TestWritingNeverWaitsForTheOutput: if the output blocks, each write still returns at once, in virtual time, and the number of lines
// that do not fit is logged.
func TestWritingNeverWaitsForTheOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedOutput{released: make(chan struct{})}
		writer := NewBoundedWriter(output)
		start := time.Now()
		const lines = 10_000
		for number := range lines {
			if _, err := fmt.Fprintf(writer, "line=%d\n", number); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("writing took %s of virtual time", took)
		}
		if left := writer.Dropped(); left < lines-lineBurst-queueLines || left >= lines {
			t.Errorf("%d lines were dropped", left)
		}
		close(output.released)
		time.Sleep(2 * reportInterval)
		writer.Close()
		if text := output.String(); !strings.Contains(text, "message=log_lines_left_out count=") || !strings.HasPrefix(text, "line=0\n") {
			t.Errorf("output lacks the first line or the count of dropped lines: %.200s", text)
		}
	})
}

func TestRateOfLinesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedOutput{released: make(chan struct{})}
		close(output.released)
		writer := NewBoundedWriter(output)
		const seconds = 10
		for range seconds {
			for range 5 * linesPerSecond {
				_, _ = writer.Write([]byte("x\n"))
			}
			time.Sleep(time.Second)
		}
		writer.Close()
		if written := strings.Count(output.String(), "x\n"); written > lineBurst+(seconds+1)*linesPerSecond {
			t.Errorf("%d lines were written in %d s", written, seconds)
		}
	})
}
