package relay

import (
	"net/netip"
	"time"
)

const (
	// confirmingPeers is how many peers must have reported their revision before a node becomes ready
	// without the key-value service; in a smaller cluster, all peers.
	confirmingPeers = 3
	// readyTimeout limits the wait for a revision that the membership reports but no peer has, and for a peer that is
	// ready. If all nodes start while the key-value service is down, no peer is.
	readyTimeout = 10 * time.Second
)

// readyState decides when a starting node is ready, so that it does not serve an older revision than before its
// restart.
type readyState struct {
	done             bool
	confirmedByStore bool
	// reports are the last digests of peers.
	reports map[netip.AddrPort]digest
}

func newReadyState() readyState {
	return readyState{reports: make(map[netip.AddrPort]digest)}
}

func (r *readyState) addReport(from netip.AddrPort, reported digest) {
	if !r.done {
		r.reports[from] = reported
	}
}

func (p *protocol) checkReady() {
	if p.ready.done || p.latest == nil {
		return
	}
	if p.ready.confirmedByStore || p.confirmedByPeers() {
		p.ready.done = true
		p.ready.reports = nil
		p.do(actionPublish{document: p.latest})
		p.do(actionReady{})
	}
}

// confirmedByPeers reports whether enough peers have reported their revision, none of them a higher one than the
// latest here, and at least one of them is ready and no member is known to have a higher revision. The last two
// conditions are dropped after readyTimeout.
func (p *protocol) confirmedByPeers() bool {
	anyReady := false
	for _, reported := range p.ready.reports {
		if reported.revision > p.latest.revision {
			return false
		}
		anyReady = anyReady || reported.ready
	}
	needed := min(confirmingPeers, len(p.peers.zone)+len(p.peers.other))
	if needed == 0 || len(p.ready.reports) < needed {
		return false
	}
	return p.now >= readyTimeout || anyReady && p.latest.revision >= p.viewFloor
}
