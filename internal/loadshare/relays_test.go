package loadshare

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/transport/memory"
)

// countBetweenExchanges counts the frames between the two exchanges from now on.
func (s *testNodes) countBetweenExchanges() *atomic.Int64 {
	var frames atomic.Int64
	first, second := nodeAt(firstStore+1), nodeAt(secondStore+1)
	s.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		if from == first && to == second || from == second && to == first {
			frames.Add(1)
		}
		return memory.Conditions{Delay: time.Millisecond}
	})
	return &frames
}

// TestUnchangedLoadIsRelayedRarely: while loads do not change, exchanges relay only every unchangedRelayInterval, however often nodes report and
// query, and do not answer each other's messages. A change is relayed at once.
func TestUnchangedLoadIsRelayedRarely(t *testing.T) {
	const span = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		shared := startNodes(t)
		shared.acquire(firstEdge, "a", 3)
		shared.acquire(secondEdge, "b", 2)
		time.Sleep(firstExchangeTime)
		frames := shared.countBetweenExchanges()
		shared.queryFor(t, firstEdge, span/2)
		time.Sleep(span / 2)
		if sent, maxFrames := frames.Load(), int64(2*(span/unchangedRelayInterval+2)); sent > maxFrames {
			t.Errorf("%d messages between the exchanges in %s without a change, want %d at most", sent, span, maxFrames)
		}
		shared.acquire(firstEdge, "a", 1)
		time.Sleep(reportDelay + 2*reportInterval + 3*time.Millisecond)
		shared.refresh(t, secondEdge)
		if got := shared.occupancy(secondEdge, "a"); got != 4 {
			t.Errorf("the other zone sees %v requests at the replica, want 4", got)
		}
		shared.stop()
	})
}
