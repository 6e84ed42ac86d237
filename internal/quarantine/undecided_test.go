package quarantine

import "testing"

// TestMessageThatIsNotSuspectedIsSentAfterTheWait: an inquiry into a replica that takes long, as behind a partition,
// must not keep a message from the other replicas if no replica is known to have ended under it.
func TestMessageThatIsNotSuspectedIsSentAfterTheWait(t *testing.T) {
	inCluster(t, 1, 1, func(t *testing.T, c *cluster) {
		member, key := c.nodes[0], keyOf("popular")
		member.mutex.Lock()
		member.pendingInquiries[key] = 1
		member.mutex.Unlock()
		permit := member.Admit(t.Context(), key)
		if verdict := permit.Verdict(); verdict != Allowed {
			t.Errorf("verdict is %s after the wait, want allowed", verdict)
		}
		permit.Release()
	})
}
