package quarantine

import (
	"testing"
	"time"
)

// TestRunThatBeginsAfterTheSuspicionIsCutOff: a message may wait for a replica between its admission and the start of
// its run, and become suspected meanwhile.
func TestRunThatBeginsAfterTheSuspicionIsCutOff(t *testing.T) {
	inCluster(t, 2, 3, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		permit := c.nodes[1].Admit(t.Context(), key)
		c.runCrashing(c.nodes[0], 0, key)
		time.Sleep(50 * time.Millisecond)
		cut := 0
		permit.Begin(c.handle(c.nodes[1], 1), func() { cut++ }).End(t.Context(), Other)
		if cut != 1 {
			t.Errorf("the run of a suspect without a grant was cut off %d times, want 1", cut)
		}
		granted := c.nodes[1].Admit(t.Context(), key)
		defer granted.Release()
		granted.Begin(c.handle(c.nodes[1], 1), func() { t.Error("a granted run was cut off") }).End(t.Context(), Other)
	})
}

// TestReplicaThatAnswersAgainHasNotEnded: after a replica refused connections for a while and answered again, a further
// lost run must start a new inquiry.
func TestReplicaThatAnswersAgainHasNotEnded(t *testing.T) {
	for _, answers := range []bool{false, true} {
		inCluster(t, 1, 3, func(t *testing.T, c *cluster) {
			member, handle := c.nodes[0], c.handle(c.nodes[0], 0)
			c.machines.end(handle.Info().Address)
			member.Admit(t.Context(), keyOf("a")).Begin(handle, nil).End(t.Context(), Lost)
			time.Sleep(time.Second)
			if answers {
				c.machines.restart(handle.Info().Address)
				handle.NoteAnswer()
			}
			time.Sleep(time.Second)
			if ended := member.Admit(t.Context(), keyOf("b")).Begin(handle, nil).End(t.Context(), Lost); ended == answers {
				t.Errorf("replica ended: %t, replica answers again: %t", ended, answers)
			}
			want := Apart
			if answers {
				want = Allowed
			}
			wantVerdict(t, member, keyOf("b"), want)
		})
	}
}
