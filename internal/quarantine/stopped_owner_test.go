package quarantine

import (
	"testing"
	"time"
)

// stopGracefully stops a node as planned: its last notices are still delivered.
func stopGracefully(c *cluster, stopping *node) {
	stopping.up = false
	stopping.Stop()
	c.agree()
	time.Sleep(50 * time.Millisecond)
	stopping.transport.Stop()
}

// TestRunBrokenOffByAStopIsKnownToOthers guards the bound of ended replicas: an owner that stops breaks its runs off, and a
// replica that ended by one of them afterwards was counted by nobody.
func TestRunBrokenOffByAStopIsKnownToOthers(t *testing.T) {
	for name, test := range map[string]struct {
		endsAfter time.Duration
		lives     bool
		want      int
	}{
		"the replica ends before the stop": {0, false, 1},
		"the replica ends 5 ms later":      {5 * time.Millisecond, false, 1},
		"the replica ends 300 ms later":    {300 * time.Millisecond, false, 1},
		"the replica ends much later":      {2 * abortedRunGrace, false, 0},
		"the replica lives":                {0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
				stopping, item := c.nodes[0], keyOf("item")
				handle := c.handle(stopping, 0)
				run := stopping.AdmitItem(t.Context(), item).Begin(handle, nil)
				time.Sleep(100 * time.Millisecond)
				run.Progress(0, 20)
				run.End(t.Context(), Aborted)
				if !test.lives {
					time.AfterFunc(test.endsAfter, func() { c.machines.end(handle.Info().Address) })
				}
				time.Sleep(time.Millisecond)
				stopGracefully(c, stopping)
				time.Sleep(test.endsAfter + time.Second)
				// Another run there shows the end of the replica, if nobody has asked for it.
				other := c.nodes[1]
				(&permit{service: other.Service, key: keyOf("other"), verdict: Allowed}).Begin(handle, nil).End(t.Context(), Lost)
				time.Sleep(100 * time.Millisecond)
				for _, member := range c.nodes[1:] {
					member.mutex.Lock()
					unseen := member.evidence.unseenEndCount(item)
					member.mutex.Unlock()
					if unseen != test.want {
						t.Errorf("%d ends under the item are known at %s, want %d", unseen, member.id, test.want)
					}
				}
			})
		})
	}
}
