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
	inTouch := func(string, time.Time, time.Time) bool { return true }
	notInTouch := func(string, time.Time, time.Time) bool { return false }
	old := func(edge string, _ time.Time) bool { return edge == "edge-2" }
	for name, test := range map[string]struct {
		attempts []*onlineAttempt
		previous func(string, time.Time) bool
		inTouch  func(string, time.Time, time.Time) bool
		broken   string
	}{
		"two versions":                       {repeated(1, streamAttempt{events: 2, mixed: "of version v2"}), never, inTouch, "of version v2"},
		"two versions at the previous build": {repeated(1, streamAttempt{events: 2, mixed: "of version v2"}), always, inTouch, ""},
		"two versions after a restart":       {repeated(1, streamAttempt{events: 2, mixed: "of version v2"}), never, notInTouch, "of version v2"},
		"most do not go on":                  {append(append(repeated(7, refused), repeated(5, wentOn)...), fresh...), never, inTouch, "5 of 12 streams"},
		"half go on":                         {append(append(repeated(6, refused), repeated(6, wentOn)...), fresh...), never, inTouch, ""},
		"few were taken up":                  {append(repeated(11, refused), fresh...), never, inTouch, ""},
		"none goes on after a restart":       {append(repeated(12, refused), fresh...), never, notInTouch, ""},
		"they began at the previous build":   {append(repeated(12, streamAttempt{takesUp: true, versionServes: true, beganAtEdge: "edge-2"}), fresh...), old, inTouch, ""},
		"their version is gone":              {append(repeated(12, streamAttempt{takesUp: true}), fresh...), never, inTouch, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var found verdict
			found.judgeStreams(test.attempts, test.previous, test.inTouch)
			broken := strings.Join(found.violations, "\n")
			if (broken != "") != (test.broken != "") || !strings.Contains(broken, test.broken) {
				t.Errorf("broken is %q, want %q in it", broken, test.broken)
			}
		})
	}
}

// TestMachineInTouch guards that a machine counts as in touch only while one process ran for the whole time and contactTimeout before.
func TestMachineInTouch(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	deployed := &fleet{machines: []*machine{{name: "edge-1", startTimes: []time.Time{at(0), at(20)}, endTimes: []time.Time{at(19)}}}}
	for _, test := range []struct {
		from, to float64
		want     bool
	}{
		{2, 2.5, false}, {3.5, 4, true}, {18, 19.5, false}, {18, 18.9, true}, {19.2, 19.5, false}, {21, 22, false}, {23.5, 30, true},
	} {
		if got := deployed.inTouch("edge-1", at(test.from), at(test.to)); got != test.want {
			t.Errorf("from %g to %g: in touch %t, want %t", test.from, test.to, got, test.want)
		}
	}
}
