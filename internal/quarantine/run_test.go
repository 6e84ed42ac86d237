package quarantine

import (
	"testing"
	"time"
)

// TestRunThatBeginsAfterTheSuspicionIsCutOff: between its leave and its begin a message may wait for a replica.
func TestRunThatBeginsAfterTheSuspicionIsCutOff(t *testing.T) {
	inCluster(t, 2, 3, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		permit := c.nodes[1].Admit(t.Context(), key)
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(50 * time.Millisecond)
		cut := 0
		permit.Begin(c.handle(c.nodes[1], 1), func() { cut++ }).End(t.Context(), Other)
		if cut != 1 {
			t.Errorf("the run of a suspect without a grant was cut off %d times", cut)
		}
		granted := c.nodes[1].Admit(t.Context(), key)
		defer granted.Release()
		granted.Begin(c.handle(c.nodes[1], 1), func() { t.Error("a granted run is cut off") }).End(t.Context(), Other)
	})
}

// TestReplicaThatAnswersAgainHasNotEnded: a replica that refused connections for a while and answers again is inquired into once more.
func TestReplicaThatAnswersAgainHasNotEnded(t *testing.T) {
	for _, answers := range []bool{false, true} {
		inCluster(t, 1, 3, func(t *testing.T, c *cluster) {
			at, handle := c.nodes[0], c.handle(c.nodes[0], 0)
			c.machines.end(handle.Info().Address)
			at.Admit(t.Context(), keyOf("a")).Begin(handle, nil).End(t.Context(), Lost)
			time.Sleep(time.Second)
			if answers {
				c.machines.restart(handle.Info().Address)
				handle.NoteAnswer()
			}
			time.Sleep(time.Second)
			if ended := at.Admit(t.Context(), keyOf("b")).Begin(handle, nil).End(t.Context(), Lost); ended == answers {
				t.Errorf("the replica is taken to have ended: %t, it answers again: %t", ended, answers)
			}
			want := Apart
			if answers {
				want = Allowed
			}
			wantVerdict(t, at, keyOf("b"), want)
		})
	}
}
