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

// awaitOutput waits until the process has written something.
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

// TestStopOfAProcess guards that a process ended by SIGTERM counts as stopped, that one that exits with an error fails, and that one that
// ignores SIGTERM is killed.
func TestStopOfAProcess(t *testing.T) {
	withoutHandler, _ := start(t, "/bin/sleep", "600")
	if err := withoutHandler.Stop(t.Context()); err != nil {
		t.Errorf("a process without a handler: %v", err)
	}
	failing, _ := start(t, "/bin/sh", "-c", "exit 3")
	<-failing.Ended()
	if err := failing.stopError(); err == nil {
		t.Error("a process that failed is reported as stopped")
	}
	ignoring, logPath := start(t, "/bin/sh", "-c", "trap '' TERM; echo ready; while :; do :; done")
	awaitOutput(t, logPath)
	expired, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := ignoring.Stop(expired); err == nil {
		t.Error("a process that is still running is reported as stopped")
	}
	<-ignoring.Ended()
}
