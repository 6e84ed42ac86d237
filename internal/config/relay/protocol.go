package relay

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// protocol is the control state of one node. It belongs to one goroutine, reads no clock and
// does no I/O; its random choices come from its seed.
type protocol struct {
	self   membership.Member
	random *rand.Rand
	now    time.Duration
	peers  peers
	// viewFloor is the highest revision that the membership has heard of.
	viewFloor int64

	// held is the highest configuration known; nil until one is known. It is in force once the node is ready.
	held   *document
	source sourceState
	gossip gossipState
	ready  readyState

	// actions collects the outputs of the present step.
	actions []action
}

// newProtocol returns the state of a node that just started.
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

// step takes one event and returns what to do. The actions are in order.
func (p *protocol) step(input event) []action {
	p.actions = nil
	switch typed := input.(type) {
	case eventTick:
		p.now = typed.now
		p.tickSource()
		p.tickGossip()
	case eventView:
		p.takeView(typed.view)
	case eventSaved:
		p.takeSaved(typed.document)
	case eventListed:
		p.takeListing(typed)
	case eventHeadRead:
		p.takeHead(typed)
	case eventWatched:
		p.takeWatched(typed)
	case eventDelta:
		p.takeDelta(typed)
	case eventDigest:
		p.takeDigest(typed)
	case eventPulled:
		p.takePulled(typed)
	}
	p.checkReady()
	return p.actions
}

func (p *protocol) do(output action) { p.actions = append(p.actions, output) }

func (p *protocol) takeView(view *membership.View) {
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

// takeSaved holds what was on disk, which may be old: the store is asked before it is watched.
func (p *protocol) takeSaved(saved *document) {
	if p.adopt(saved) {
		p.source.mustList = true
	}
}

// revision is that held; -1 where none is known, which is below the empty configuration's 0.
func (p *protocol) revision() int64 {
	if p.held == nil {
		return -1
	}
	return p.held.revision
}

// adopt holds next, and puts it in force on a node that is ready. It is the only place that changes the
// revision, and it never lowers it.
func (p *protocol) adopt(next *document) bool {
	if next.revision <= p.revision() {
		return false
	}
	p.held = next
	if p.ready.done {
		p.do(actionPublish{document: next})
	}
	p.spreadRumour()
	return true
}

// adoptDelta puts a change from a peer in force if it is the next one and leads to the hash that the
// peer has. sound is false where the hash differs.
func (p *protocol) adoptDelta(next *delta) (sound bool) {
	if p.held == nil || next.revision != p.held.revision+1 {
		return true
	}
	document := p.held.apply(next)
	if document.hash != next.hash {
		return false
	}
	p.adopt(document)
	return true
}

// digest tells what this node has in force.
func (p *protocol) digest(asks bool) digest {
	if p.held == nil {
		return digest{asks: asks}
	}
	return digest{revision: p.held.revision, hash: p.held.hash, known: true, ready: p.ready.done, asks: asks}
}

// pick returns up to count random ones of candidates, without repetition.
func (p *protocol) pick(candidates []netip.AddrPort, count int) []netip.AddrPort {
	count = min(count, len(candidates))
	picked := make([]netip.AddrPort, 0, count)
	for _, index := range p.random.Perm(len(candidates))[:count] {
		picked = append(picked, candidates[index])
	}
	return picked
}

// jittered returns a time between half of and one and a half times wait.
func jittered(random *rand.Rand, wait time.Duration) time.Duration {
	return wait/2 + time.Duration(random.Int64N(int64(wait)))
}
