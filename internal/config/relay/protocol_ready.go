package relay

import (
	"net/netip"
	"time"
)

const (
	// confirmingPeers is how many peers must have told their revision before a node serves by
	// what peers know alone; fewer where fewer live.
	confirmingPeers = 3
	// readyTimeout bounds the wait for a revision that the membership has heard of and no peer has, and for a peer
	// that serves already; there is none where all nodes started while the key-value service is down.
	readyTimeout = 10 * time.Second
)

// readyState decides when a node that just started may serve, so that it does not serve by an older
// revision than it did before.
type readyState struct {
	done             bool
	confirmedByStore bool
	// confirmed holds what peers told last.
	confirmed map[netip.AddrPort]digest
}

func newReadyState() readyState {
	return readyState{confirmed: make(map[netip.AddrPort]digest)}
}

func (r *readyState) confirm(from netip.AddrPort, told digest) {
	if !r.done {
		r.confirmed[from] = told
	}
}

func (p *protocol) checkReady() {
	if p.ready.done || p.held == nil {
		return
	}
	if p.ready.confirmedByStore || p.confirmedByPeers() {
		p.ready.done = true
		p.ready.confirmed = nil
		p.do(actionPublish{document: p.held})
		p.do(actionReady{})
	}
}

// confirmedByPeers says that enough peers have told their revision, one that serves among them, and none
// a higher one than is held.
func (p *protocol) confirmedByPeers() bool {
	anyServes := false
	for _, told := range p.ready.confirmed {
		if told.revision > p.held.revision {
			return false
		}
		anyServes = anyServes || told.ready
	}
	needed := min(confirmingPeers, len(p.peers.zone)+len(p.peers.other))
	if needed == 0 || len(p.ready.confirmed) < needed {
		return false
	}
	return p.now >= readyTimeout || anyServes && p.held.revision >= p.viewFloor
}
