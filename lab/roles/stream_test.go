package roles

import (
	"strings"
	"testing"
	"time"
)

// TestStreamViolationsAreReported guards that streams of two versions and streams that do not go on are reported, and that attempts are left
// out for which neither rule holds.
func TestStreamViolationsAreReported(t *testing.T) {
	repeated := func(count int, stream streamAttempt) (attempts []*onlineAttempt) {
		for range count {
			copied := stream
			attempts = append(attempts, &onlineAttempt{id: "i", edge: "edge-1", stream: &copied})
		}
		return attempts
	}
	fresh := repeated(10, streamAttempt{events: 3})
	refused := streamAttempt{takesUp: true, versionServes: true}
	wentOn := streamAttempt{takesUp: true, versionServes: true, events: 1}
	never := func(string, time.Time) bool { return false }
	always := func(string, time.Time) bool { return true }
	old := func(edge string, _ time.Time) bool { return edge == "edge-2" }
	for name, test := range map[string]struct {
		attempts []*onlineAttempt
		previous func(string, time.Time) bool
		started  func(string, time.Time) bool
		broken   string
	}{
		"two versions":                       {repeated(1, streamAttempt{events: 2, mixed: "of version v2"}), never, never, "of version v2"},
		"two versions at the previous build": {repeated(1, streamAttempt{events: 2, mixed: "of version v2"}), always, never, ""},
		"two versions after a restart":       {repeated(1, streamAttempt{events: 2, mixed: "of version v2"}), never, always, "of version v2"},
		"most do not go on":                  {append(append(repeated(7, refused), repeated(5, wentOn)...), fresh...), never, never, "5 of 12 streams"},
		"half go on":                         {append(append(repeated(6, refused), repeated(6, wentOn)...), fresh...), never, never, ""},
		"few were taken up":                  {append(repeated(11, refused), fresh...), never, never, ""},
		"none goes on after a restart":       {append(repeated(12, refused), fresh...), never, always, ""},
		"they began at the previous build":   {append(repeated(12, streamAttempt{takesUp: true, versionServes: true, beganAtEdge: "edge-2"}), fresh...), old, never, ""},
		"their version is gone":              {append(repeated(12, streamAttempt{takesUp: true}), fresh...), never, never, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var found verdict
			found.judgeStreams(test.attempts, test.previous, test.started)
			broken := strings.Join(found.violations, "\n")
			if (broken != "") != (test.broken != "") || !strings.Contains(broken, test.broken) {
				t.Errorf("broken is %q, want %q in it", broken, test.broken)
			}
		})
	}
}
