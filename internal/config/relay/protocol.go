package relay

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// protocol is the state machine of one node. It is used by one goroutine, reads no clock and
// does no I/O; its random choices are determined by its seed.
type protocol struct {
	self   membership.Member
	random *rand.Rand
	now    time.Duration
	peers  peers
	// viewFloor is the highest revision reported by any other member in a membership view.
	viewFloor int64

	// latest is the configuration with the highest known revision; nil if none is known. It is in force once
	// the node is ready.
	latest *document
	source sourceState
	gossip gossipState
	ready  readyState

	// actions collects the outputs of the current step.
	actions []action
}

// newProtocol returns the initial state of a starting node.
func newProtocol(self membership.Member, seed uint64) *protocol {
	random := rand.New(rand.NewPCG(seed, seed))
	return &protocol{
		self:   self,
		random: random,
		source: newSourceState(random),
		gossip: newGossipState(random),
		ready:  newReadyState(),
	}
}

// step processes one event and returns the resulting actions in order.
func (p *protocol) step(input event) []action {
	p.actions = nil
	switch typed := input.(type) {
	case eventTick:
		p.now = typed.now
		p.tickSource()
		p.tickGossip()
	case eventView:
		p.handleView(typed.view)
	case eventSaved:
		p.handleSaved(typed.document)
	case eventListed:
		p.handleListing(typed)
	case eventHeadRead:
		p.handleHead(typed)
	case eventWatched:
		p.handleWatched(typed)
	case eventDelta:
		p.handleDelta(typed)
	case eventDigest:
		p.handleDigest(typed)
	case eventPulled:
		p.handlePulled(typed)
	}
	p.checkReady()
	return p.actions
}

func (p *protocol) do(output action) { p.actions = append(p.actions, output) }

func (p *protocol) handleView(view *membership.View) {
	live := view.Live()
	p.peers = peersOf(p.self, live)
	p.source.wanted = isWatcher(p.self, live)
	if len(live) != p.source.liveMembers {
		p.source.liveMembers, p.source.liveSince = len(live), p.now
	}
	for _, member := range view.Members {
		if member.ID != p.self.ID {
			p.viewFloor = max(p.viewFloor, member.Revisions.Configuration)
		}
	}
}

// handleSaved adopts the document loaded from disk. It may be outdated, so the store is listed before it is watched.
func (p *protocol) handleSaved(saved *document) {
	if p.adopt(saved) {
		p.source.mustList = true
	}
}

// revision returns the revision of latest; -1 if none is known, which is below the empty configuration's 0.
func (p *protocol) revision() int64 {
	if p.latest == nil {
		return -1
	}
	return p.latest.revision
}

// adopt makes next the latest document, and publishes it if the node is ready. It is the only place that changes
// the revision, and it never decreases it.
func (p *protocol) adopt(next *document) bool {
	if next.revision <= p.revision() {
		return false
	}
	p.latest = next
	if p.ready.done {
		p.do(actionPublish{document: next})
	}
	p.announceRevision()
	return true
}

// adoptDelta applies a delta from a peer if it is the next one and the resulting hash matches that of the peer.
// valid is false if the hash differs.
func (p *protocol) adoptDelta(next *delta) (valid bool) {
	if p.latest == nil || next.revision != p.latest.revision+1 {
		return true
	}
	document := p.latest.apply(next)
	if document.hash != next.hash {
		return false
	}
	p.adopt(document)
	return true
}

// digest returns the digest of the latest document, to be sent to peers.
func (p *protocol) digest(asks bool) digest {
	if p.latest == nil {
		return digest{asks: asks}
	}
	return digest{revision: p.latest.revision, hash: p.latest.hash, known: true, ready: p.ready.done, asks: asks}
}

// pick returns up to count randomly chosen candidates, without repetition.
func (p *protocol) pick(candidates []netip.AddrPort, count int) []netip.AddrPort {
	count = min(count, len(candidates))
	picked := make([]netip.AddrPort, 0, count)
	for _, index := range p.random.Perm(len(candidates))[:count] {
		picked = append(picked, candidates[index])
	}
	return picked
}

// jittered returns a random duration between 0.5 and 1.5 times wait.
func jittered(random *rand.Rand, wait time.Duration) time.Duration {
	return wait/2 + time.Duration(random.Int64N(int64(wait)))
}
