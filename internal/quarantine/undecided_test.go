package quarantine

import "testing"

// TestMessageThatIsNotSuspectedIsSentAfterTheWait: an inquiry into a replica that goes on for long, as behind a cut, keeps no message from the other
// replicas that none is known to have ended under.
func TestMessageThatIsNotSuspectedIsSentAfterTheWait(t *testing.T) {
	inCluster(t, 1, 1, func(t *testing.T, c *cluster) {
		at, key := c.nodes[0], keyOf("popular")
		at.mutex.Lock()
		at.pendingInquiries[key] = 1
		at.mutex.Unlock()
		permit := at.Admit(t.Context(), key)
		if verdict := permit.Verdict(); verdict != Allowed {
			t.Errorf("verdict %s after the wait", verdict)
		}
		permit.Release()
	})
}
