package relay

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Timing and spread of the digests.
const (
	digestInterval = time.Second
	// askInterval is the interval at which a node that is not ready asks its peers for their digests.
	askInterval = 200 * time.Millisecond
	// askPeers is how many peers of its own zone, and of other zones, it asks each time.
	askPeers = 3
	// announceZonePeers and announceOtherPeers are how many peers of the own and of other zones get a digest at once
	// when a new revision is adopted.
	announceZonePeers  = 2
	announceOtherPeers = 1
	// maxPushedBytes limits the deltas that are sent, without a request, to a peer that is behind.
	maxPushedBytes = 16 << 10
)

// gossipState is the state of a node towards its peers.
type gossipState struct {
	nextDigest time.Duration
	// pulling is set while a pull is in flight.
	pulling bool
	// pullDocument makes the next pull request the whole document, after a delta whose hash did not match.
	pullDocument bool
	// aheadPeer is a peer known to have a higher revision.
	aheadPeer     netip.AddrPort
	aheadRevision int64
}

func newGossipState(random *rand.Rand) gossipState {
	return gossipState{nextDigest: time.Duration(random.Int64N(int64(askInterval)))}
}

func (p *protocol) tickGossip() {
	if p.now < p.gossip.nextDigest {
		return
	}
	if !p.ready.done {
		p.gossip.nextDigest = p.now + jittered(p.random, askInterval)
		p.sendDigests(askPeers, askPeers, true)
		return
	}
	p.gossip.nextDigest = p.now + jittered(p.random, digestInterval)
	p.sendDigests(1, 1, false)
}

func (p *protocol) sendDigests(zonePeers, otherPeers int, asks bool) {
	own := p.digest(asks)
	for _, to := range p.pick(p.peers.zone, zonePeers) {
		p.do(actionSendDigest{to: to, digest: own})
	}
	for _, to := range p.pick(p.peers.other, otherPeers) {
		p.do(actionSendDigest{to: to, digest: own})
	}
}

// announceRevision sends a digest to a few peers after a new revision was adopted.
func (p *protocol) announceRevision() { p.sendDigests(announceZonePeers, announceOtherPeers, false) }

func (p *protocol) handleDelta(received eventDelta) {
	next := received.delta
	if next.revision > p.revision()+1 || p.latest == nil {
		p.noteAheadPeer(received.from, next.revision)
		return
	}
	if !p.adoptDelta(next) {
		p.gossip.pullDocument = true
		p.noteAheadPeer(received.from, next.revision)
	}
}

func (p *protocol) handleDigest(received eventDigest) {
	theirs := received.digest
	if theirs.known {
		p.ready.addReport(received.from, theirs)
		switch {
		case theirs.revision > p.revision():
			p.noteAheadPeer(received.from, theirs.revision)
		case theirs.revision == p.revision() && theirs.hash != p.latest.hash:
			p.do(actionReport{problem: problemContentDiffers, from: received.from})
		}
	}
	behind := p.latest != nil && (!theirs.known || theirs.revision < p.latest.revision)
	if behind && theirs.known && p.pushMissing(received.from, theirs.revision) {
		behind = false
	}
	if theirs.asks || behind {
		p.do(actionSendDigest{to: received.from, digest: p.digest(false)})
	}
}

// pushMissing sends the deltas after revision to a peer. It returns false if some are no longer kept or they exceed
// maxPushedBytes.
func (p *protocol) pushMissing(to netip.AddrPort, revision int64) bool {
	deltas, complete := p.latest.deltasAfter(revision)
	if !complete {
		return false
	}
	size := 0
	for _, missing := range deltas {
		size += missing.size()
	}
	if size > maxPushedBytes {
		return false
	}
	for _, missing := range deltas {
		p.do(actionSendDelta{to: []netip.AddrPort{to}, delta: missing})
	}
	return true
}

// noteAheadPeer records a peer with a higher revision and pulls from it unless a pull is in flight.
func (p *protocol) noteAheadPeer(from netip.AddrPort, revision int64) {
	if revision > p.gossip.aheadRevision || !p.gossip.aheadPeer.IsValid() {
		p.gossip.aheadPeer, p.gossip.aheadRevision = from, revision
	}
	p.pullFromAheadPeer()
}

func (p *protocol) pullFromAheadPeer() {
	gossip := &p.gossip
	if gossip.pulling || !gossip.aheadPeer.IsValid() || gossip.aheadRevision <= p.revision() {
		return
	}
	gossip.pulling = true
	p.do(actionPull{
		from:     gossip.aheadPeer,
		revision: max(p.revision(), 0),
		known:    p.latest != nil && !gossip.pullDocument,
	})
	gossip.aheadPeer, gossip.aheadRevision = netip.AddrPort{}, 0
}

func (p *protocol) handlePulled(pulled eventPulled) {
	p.gossip.pulling = false
	if pulled.err == nil {
		p.adoptPulled(pulled)
	}
	p.pullFromAheadPeer()
}

func (p *protocol) adoptPulled(pulled eventPulled) {
	if pulled.document != nil {
		p.adopt(pulled.document)
		p.gossip.pullDocument = false
		return
	}
	for _, next := range pulled.deltas {
		if !p.adoptDelta(next) {
			p.gossip.pullDocument = true
			p.noteAheadPeer(pulled.from, next.revision)
			return
		}
	}
}
