package process

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

func start(t *testing.T, program string, arguments ...string) (started *Process, logPath string) {
	t.Helper()
	logPath = filepath.Join(t.TempDir(), "log")
	started, err := Start(program, logPath, arguments...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Kill)
	return started, logPath
}

// awaitOutput returns once a process has written something.
func awaitOutput(t *testing.T, logPath string) {
	t.Helper()
	for {
		content, err := os.ReadFile(logPath)
		if err != nil {
			t.Fatal(err)
		}
		if len(content) > 0 {
			return
		}
		runtime.Gosched()
	}
}

// TestStopOfAProcess: one that the signal ends has stopped, one that ends with a failure of its own has failed, and one that goes on is killed.
func TestStopOfAProcess(t *testing.T) {
	plain, _ := start(t, "/bin/sleep", "600")
	if err := plain.Stop(t.Context()); err != nil {
		t.Errorf("a process without a handler: %v", err)
	}
	failing, _ := start(t, "/bin/sh", "-c", "exit 3")
	<-failing.Ended()
	if err := failing.failureOfStop(); err == nil {
		t.Error("a process that failed has stopped")
	}
	deaf, logPath := start(t, "/bin/sh", "-c", "trap '' TERM; echo ready; while :; do :; done")
	awaitOutput(t, logPath)
	over, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := deaf.Stop(over); err == nil {
		t.Error("a process that goes on has stopped")
	}
	<-deaf.Ended()
}
