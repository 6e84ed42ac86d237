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
func (s *sharing) countBetweenExchanges() *atomic.Int64 {
	var frames atomic.Int64
	one, other := nodeAt(firstStore+1), nodeAt(secondStore+1)
	s.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
		if from == one && to == other || from == other && to == one {
			frames.Add(1)
		}
		return memory.Conditions{Delay: time.Millisecond}
	})
	return &frames
}

// TestNothingNewIsNotRelayed: exchanges send each other what has not changed now and then only, however often nodes report and ask, and do not
// answer each other's messages with messages. A change goes out at once.
func TestNothingNewIsNotRelayed(t *testing.T) {
	const span = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		shared := startSharing(t)
		shared.use(firstEdge, "a", 3)
		shared.use(secondEdge, "b", 2)
		time.Sleep(joined)
		frames := shared.countBetweenExchanges()
		shared.askOften(t, firstEdge, span/2)
		time.Sleep(span / 2)
		if sent, most := frames.Load(), int64(2*(span/relayAnyway+2)); sent > most {
			t.Errorf("%d messages between the exchanges in %s without a change, want %d at most", sent, span, most)
		}
		shared.use(firstEdge, "a", 1)
		time.Sleep(settleTime + 2*interval + 3*time.Millisecond)
		shared.ask(t, secondEdge)
		if got := shared.occupancy(secondEdge, "a"); got != 4 {
			t.Errorf("the other zone sees %v requests at the replica, want 4", got)
		}
		shared.stop()
	})
}
