package relay

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Timing and spread of the digests.
const (
	digestInterval = time.Second
	// askInterval is how often a node that is not ready yet asks its peers.
	askInterval = 200 * time.Millisecond
	// askPeers is how many peers it asks each time.
	askPeers = 3
	// rumourZonePeers and rumourOtherPeers get a digest at once when a revision is new here.
	rumourZonePeers  = 2
	rumourOtherPeers = 1
	// maxPushedBytes bounds the changes that are sent to a peer that is behind without its asking.
	maxPushedBytes = 16 << 10
)

// gossipState is a node's side towards its peers.
type gossipState struct {
	nextDigest time.Duration
	// pulling is set while a pull is under way.
	pulling bool
	// pullWhole asks for the whole document next, since a delta did not fit what is held.
	pullWhole bool
	// ahead is a peer known to have a higher revision.
	ahead         netip.AddrPort
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

// spreadRumour tells a few peers of a revision that is new here.
func (p *protocol) spreadRumour() { p.sendDigests(rumourZonePeers, rumourOtherPeers, false) }

func (p *protocol) takeDelta(received eventDelta) {
	next := received.delta
	if next.revision > p.revision()+1 || p.held == nil {
		p.learnAhead(received.from, next.revision)
		return
	}
	if !p.adoptDelta(next) {
		p.gossip.pullWhole = true
		p.learnAhead(received.from, next.revision)
	}
}

func (p *protocol) takeDigest(received eventDigest) {
	theirs := received.digest
	if theirs.known {
		p.ready.confirm(received.from, theirs)
		switch {
		case theirs.revision > p.revision():
			p.learnAhead(received.from, theirs.revision)
		case theirs.revision == p.revision() && theirs.hash != p.held.hash:
			p.do(actionReport{problem: problemContentDiffers, from: received.from})
		}
	}
	behind := p.held != nil && (!theirs.known || theirs.revision < p.held.revision)
	if behind && theirs.known && p.pushMissing(received.from, theirs.revision) {
		behind = false
	}
	if theirs.asks || behind {
		p.do(actionSendDigest{to: received.from, digest: p.digest(false)})
	}
}

// pushMissing sends the changes after revision to a peer, if they are kept and small.
func (p *protocol) pushMissing(to netip.AddrPort, revision int64) bool {
	deltas, complete := p.held.deltasAfter(revision)
	if !complete {
		return false
	}
	size := 0
	for _, one := range deltas {
		size += one.size()
	}
	if size > maxPushedBytes {
		return false
	}
	for _, one := range deltas {
		p.do(actionSendDelta{to: []netip.AddrPort{to}, delta: one})
	}
	return true
}

// learnAhead notes a peer that is ahead and pulls from it unless a pull is under way.
func (p *protocol) learnAhead(from netip.AddrPort, revision int64) {
	if revision > p.gossip.aheadRevision || !p.gossip.ahead.IsValid() {
		p.gossip.ahead, p.gossip.aheadRevision = from, revision
	}
	p.pullAhead()
}

func (p *protocol) pullAhead() {
	gossip := &p.gossip
	if gossip.pulling || !gossip.ahead.IsValid() || gossip.aheadRevision <= p.revision() {
		return
	}
	gossip.pulling = true
	p.do(actionPull{
		from:     gossip.ahead,
		revision: max(p.revision(), 0),
		known:    p.held != nil && !gossip.pullWhole,
	})
	gossip.ahead, gossip.aheadRevision = netip.AddrPort{}, 0
}

func (p *protocol) takePulled(pulled eventPulled) {
	p.gossip.pulling = false
	if pulled.err == nil {
		p.adoptPulled(pulled)
	}
	p.pullAhead()
}

func (p *protocol) adoptPulled(pulled eventPulled) {
	if pulled.document != nil {
		p.adopt(pulled.document)
		p.gossip.pullWhole = false
		return
	}
	for _, next := range pulled.deltas {
		if !p.adoptDelta(next) {
			p.gossip.pullWhole = true
			p.learnAhead(pulled.from, next.revision)
			return
		}
	}
}
