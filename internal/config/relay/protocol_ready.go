package relay

import (
	"net/netip"
	"time"
)

const (
	// confirmingPeers is how many peers must have told their revision before a node serves by
	// what peers know alone; fewer where fewer live.
	confirmingPeers = 3
	// floorPatience bounds the wait for a revision that the membership has heard of and no peer has.
	floorPatience = 10 * time.Second
)

// readyState decides when a node that just started may serve, so that it does not serve by an older
// revision than it did before.
type readyState struct {
	done             bool
	confirmedByStore bool
	// confirmed holds what peers told.
	confirmed map[netip.AddrPort]int64
}

func newReadyState() readyState {
	return readyState{confirmed: make(map[netip.AddrPort]int64)}
}

func (r *readyState) confirm(from netip.AddrPort, revision int64) {
	if !r.done {
		r.confirmed[from] = max(r.confirmed[from], revision)
	}
}

func (p *protocol) checkReady() {
	if p.ready.done || p.held == nil {
		return
	}
	if p.ready.confirmedByStore || p.confirmedByPeers() {
		p.ready.done = true
		p.ready.confirmed = nil
		p.do(actionReady{})
	}
}

// confirmedByPeers says that enough peers have told their revision and none is higher than what is held.
func (p *protocol) confirmedByPeers() bool {
	needed := min(confirmingPeers, len(p.peers.zone)+len(p.peers.other))
	if needed == 0 || len(p.ready.confirmed) < needed {
		return false
	}
	for _, revision := range p.ready.confirmed {
		if revision > p.held.revision {
			return false
		}
	}
	return p.held.revision >= p.viewFloor || p.now >= floorPatience
}
