package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
	"github.com/sloelift/sloelift/internal/transport"
)

// Transport methods of this package.
const (
	methodPing         transport.Method = "membership.ping"
	methodAck          transport.Method = "membership.ack"
	methodProbeRequest transport.Method = "membership.probe"
	methodDigest       transport.Method = "membership.digest"
	methodSummary      transport.Method = "membership.summary"
	methodRecords      transport.Method = "membership.records"
)

// protocol is the membership protocol of one node. It is used by one goroutine, reads no clock and
// does no I/O: step takes an event and returns actions.
type protocol struct {
	timing     Timing
	random     *rand.Rand
	self       *record
	records    map[NodeID]*record // includes self
	sorted     []*record          // the same records, by ID
	news       *newsQueue
	index      index
	indexStale bool // index must be rebuilt before use
	version    uint64
	// publishedMembers is the number of members in the latest view. A view that has doubled since
	// is published on the next tick: a node that has just started must not act on a view of itself
	// alone.
	publishedMembers int
	// viewChanged is set if the view must be published at nextPublish. publishUrgent is set if it
	// must be published on the next tick, for example because a member leaves or has died.
	viewChanged   bool
	publishUrgent bool
	nextPublish   time.Time

	now           time.Time
	lastTick      time.Time
	lastSequence  uint64
	probes        map[uint64]*probe
	relays        map[uint64]relay
	lastSuccessor int // the ring successor that was probed last, from 1
	slowness      int // timeouts are 1+slowness times as long
	// answerSlowness is the part of the slowness that the round trips of direct answers require, without
	// that of failed probes.
	answerSlowness int

	nextZoneProbe   time.Time
	nextRemoteProbe time.Time
	nextDigest      time.Time
	nextHeal        time.Time
	nextJoin        time.Time
	joinPeriod      time.Duration

	seeds         []netip.AddrPort
	listed        map[NodeID]netip.AddrPort
	listedLeaving map[NodeID]bool
	haveListing   bool

	bulk    bool // more than bulkThreshold records are being merged
	actions []action
}

// newProtocol returns the protocol of a node that knows only itself and its seeds.
func newProtocol(self Member, seeds []netip.AddrPort, timing Timing, seed uint64) *protocol {
	own := newRecord(self)
	return &protocol{
		timing:        timing,
		random:        rand.New(rand.NewPCG(seed, own.idHash)),
		self:          own,
		records:       map[NodeID]*record{self.ID: own},
		sorted:        []*record{own},
		news:          newNewsQueue(),
		indexStale:    true,
		viewChanged:   true,
		publishUrgent: true,
		probes:        make(map[uint64]*probe),
		relays:        make(map[uint64]relay),
		joinPeriod:    timing.JoinPeriod,
		seeds:         seeds,
	}
}

// step processes one event at time now, which must not decrease, and returns the resulting actions.
func (p *protocol) step(now time.Time, input event) []action {
	p.now = now
	p.actions = nil
	switch typed := input.(type) {
	case tickEvent:
		p.tick()
	case messageEvent:
		p.receive(typed)
	case listingEvent:
		p.takeListing(typed.machines)
	case leaveEvent:
		p.leave()
	case stopEvent:
		p.stop()
	case storeEvent:
		p.setStore(typed.incarnation)
	case revisionEvent:
		p.learnRevisions(p.self, typed.revisions)
	case contactEvent:
		p.addContact(typed.address)
	}
	return p.actions
}

func (p *protocol) tick() {
	p.compensateForPause()
	p.lastTick = p.now
	p.checkProbes()
	p.checkSuspicions()
	p.startProbes()
	p.startDigests()
	p.forgetDead()
	p.publish()
}

// compensateForPause drops pending probes and moves the deadlines of suspects by the time for which
// this node itself was paused, so that its own pause does not make others look dead.
func (p *protocol) compensateForPause() {
	missed := p.now.Sub(p.lastTick) - p.timing.Tick
	if p.lastTick.IsZero() || missed < pauseTicks*p.timing.Tick {
		return
	}
	clear(p.probes)
	clear(p.relays)
	for _, member := range p.suspects() {
		member.silentSince = member.silentSince.Add(missed)
		member.deadline = member.deadline.Add(missed)
	}
}

func (p *protocol) receive(input messageEvent) {
	switch message := input.message.(type) {
	case *membershippb.Ping:
		p.receivePing(input.from, message)
	case *membershippb.Ack:
		p.receiveAck(input.from, message)
	case *membershippb.ProbeRequest:
		p.receiveProbeRequest(input.from, message)
	case *membershippb.Digest:
		p.receiveDigest(input.from, message)
	case *membershippb.Summary:
		p.receiveSummary(input.from, message)
	case *membershippb.Records:
		p.receiveRecords(input.from, message)
	}
}

func (p *protocol) send(to netip.AddrPort, method transport.Method, message proto.Message) {
	p.actions = append(p.actions, sendAction{to: to, method: method, message: message})
}

func (p *protocol) report(member *record, kind changeKind) {
	change := changeAction{id: member.ID, zone: member.Zone, incarnation: member.Incarnation, kind: kind}
	if kind == changeDead {
		change.silence = p.now.Sub(member.silentSince)
	}
	p.actions = append(p.actions, change)
}

// sender returns the fields about this node that every message carries.
func (p *protocol) sender() *membershippb.Sender {
	return &membershippb.Sender{
		Id:               string(p.self.ID),
		Incarnation:      p.self.Incarnation,
		ConfigRevision:   p.self.Revisions.Configuration,
		ReplicasRevision: p.self.Revisions.Replicas,
	}
}

// noteSender records that a message arrived from its sender. It returns false if the sender or its
// incarnation is not known.
func (p *protocol) noteSender(from netip.AddrPort, sender *membershippb.Sender) bool {
	member := p.records[NodeID(sender.GetId())]
	switch {
	case member == nil:
		return false
	case member == p.self:
		return true
	case sender.GetIncarnation() > member.Incarnation:
		// The node is alive, whatever was suspected of its earlier incarnation.
		member.lastHeard = p.now
		return false
	case sender.GetIncarnation() < member.Incarnation:
		// An old message, or a node whose clock went back across its restart: it must learn which
		// incarnation to exceed.
		p.sendRecords(from, []*record{member})
		return true
	}
	member.lastHeard = p.now
	p.learnRevisions(member, Revisions{Configuration: sender.GetConfigRevision(), Replicas: sender.GetReplicasRevision()})
	if member.State == Dead && !member.left {
		p.sendRecords(from, []*record{member})
	}
	return true
}

// learnRevisions raises a member's revisions to those heard in the same incarnation.
func (p *protocol) learnRevisions(member *record, heard Revisions) {
	newest := member.Revisions.Join(heard)
	if newest != member.Revisions {
		member.Revisions = newest
		p.viewChanged = true
	}
}

// setStore changes the store attributes of this node, which requires a new incarnation.
func (p *protocol) setStore(incarnation string) {
	if p.self.StoreIncarnation == incarnation && p.self.Store {
		return
	}
	p.self.Store = true
	p.self.StoreIncarnation = incarnation
	p.self.Incarnation++
	p.announceSelf()
}

func (p *protocol) leave() {
	if p.self.State != Alive {
		return
	}
	p.self.State = Leaving
	p.self.leaving = true
	p.announceSelf()
	p.publishNow()
}

// stop announces that this node is gone, so that the others need not detect it.
func (p *protocol) stop() {
	p.self.State = Dead
	p.self.left = true
	p.announceSelf()
}

// announceSelf sends this node's record to all members of its zone and a sample of each other zone,
// and queues it as news.
func (p *protocol) announceSelf() {
	p.indexStale, p.viewChanged, p.publishUrgent = true, true, true
	p.news.add(p.self.ID)
	own := []*record{p.self}
	index := p.lookup()
	for _, zone := range index.zones {
		members := index.byZone[zone]
		if zone != p.self.zone {
			members = p.sample(members, broadcastSample, nil)
		}
		for _, member := range members {
			if member != p.self {
				p.sendRecords(member.PeerAddress, own)
			}
		}
	}
}

// publish publishes a changed view: at once if the change is urgent, else once PublishPeriod is
// over.
func (p *protocol) publish() {
	if p.viewChanged && (p.publishUrgent || !p.now.Before(p.nextPublish)) {
		p.publishNow()
	}
}

func (p *protocol) publishNow() {
	p.viewChanged, p.publishUrgent = false, false
	p.publishedMembers = len(p.sorted)
	p.nextPublish = p.now.Add(p.timing.PublishPeriod)
	p.version++
	view := &View{Self: p.self.ID, Version: p.version, Members: make([]Member, 0, len(p.sorted))}
	for _, member := range p.sorted {
		shown := member.Member
		if member.leaving && shown.State == Suspect || shown.State == Alive && p.listedLeaving[member.ID] {
			shown.State = Leaving
		}
		view.Members = append(view.Members, shown)
	}
	p.actions = append(p.actions, publishAction{view: view})
}
