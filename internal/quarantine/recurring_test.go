package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// attemptKey returns the key of one attempt at a request, whose prompt parts and query differ between attempts.
func attemptKey(number int) Key {
	return Message{
		Method:      "POST",
		Host:        "h",
		Target:      fmt.Sprintf("/ask/1?try=%d", number),
		Body:        []byte("body"),
		PromptParts: fmt.Sprintf("5c1e:800,%x:410", number),
	}.Key()
}

// TestRequestThatCrashesReplicasIsRejectedWhateverPartsItNames guards the bound of three ended replicas when each
// attempt names different prompt parts.
func TestRequestThatCrashesReplicasIsRejectedWhateverPartsItNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := newCluster(t, 3, 12)
		crashed := 0
		for number := range 8 {
			if running.runCrashing(running.nodes[number%3], number, attemptKey(number)) {
				crashed++
			}
			time.Sleep(time.Second)
		}
		if crashed > maxEndedReplicas {
			t.Errorf("%d attempts crashed a replica, want at most %d", crashed, maxEndedReplicas)
		}
		running.stop()
	})
}

// TestCrashThatIsNotRecognizedIsBounded: the address of an ended replica still accepts connections, as with a
// supervisor that holds the socket, so that the end is not recognized. The number of runs must be bounded all the same.
func TestCrashThatIsNotRecognizedIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := newCluster(t, 3, 12)
		key, runs := Key{1}, 0
		for number := range 30 {
			member := running.nodes[number%3]
			permit := member.Admit(t.Context(), key)
			if permit.Verdict() != Rejected {
				run := permit.Begin(running.handle(member, number%12), nil)
				time.Sleep(80 * time.Millisecond)
				run.End(t.Context(), Lost)
				runs++
			}
			permit.Release()
			time.Sleep(200 * time.Millisecond)
		}
		const wantMost = 2 * maxEndedReplicas
		if runs > wantMost {
			t.Errorf("the message was sent %d times without completing, want at most %d", runs, wantMost)
		}
		running.stop()
	})
}

// TestRejectionOutlivesARestartOfAllNodes guards against a rejected message crashing replicas again after each restart
// of all nodes.
func TestRejectionOutlivesARestartOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := newCluster(t, 3, 12)
		key, crashed := Key{1}, 0
		for life := range 4 {
			for number := range 4 {
				if running.runCrashing(running.nodes[number%3], number, key) {
					crashed++
				}
				time.Sleep(time.Second)
			}
			if life == 0 && crashed > maxEndedReplicas {
				t.Fatalf("%d replicas crashed before the first restart", crashed)
			}
			for _, member := range running.nodes {
				running.kill(member)
			}
			for _, member := range running.nodes {
				running.start(member)
			}
			running.agree()
			time.Sleep(2 * time.Second)
		}
		if crashed > maxEndedReplicas {
			t.Errorf("%d replicas crashed over all restarts, want at most %d", crashed, maxEndedReplicas)
		}
		running.stop()
	})
}
