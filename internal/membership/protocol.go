package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods of the slice.
const (
	methodPing         transport.Method = "membership.ping"
	methodAck          transport.Method = "membership.ack"
	methodProbeRequest transport.Method = "membership.probe"
	methodDigest       transport.Method = "membership.digest"
	methodSummary      transport.Method = "membership.summary"
	methodRecords      transport.Method = "membership.records"
)

// protocol is the membership protocol of one node. It belongs to one goroutine, reads
// no clock and does no I/O: step takes an event and returns actions.
type protocol struct {
	timing  Timing
	random  *rand.Rand
	self    *record
	records map[NodeID]*record // self among them
	sorted  []*record          // the same, by id
	news    *newsQueue
	index   index
	stale   bool // index must be rebuilt
	version uint64
	// published is the number of members in the latest view. One that has doubled since is urgent
	// too: a node that has just started must not act on a view of itself alone.
	published int
	// changed: the view must be published; urgent: on the next tick, as somebody leaves
	// or died, else by nextPublish.
	changed     bool
	urgent      bool
	nextPublish time.Time

	now          time.Time
	lastTick     time.Time
	lastSequence uint64
	probes       map[uint64]*probe
	relays       map[uint64]relay
	successor    int // which ring successor is probed next
	slowness     int // how many times longer than usual this node waits

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

	bulk    bool // the records being merged came in bulk
	actions []action
}

// newProtocol returns the protocol of a node that knows only itself and its seeds.
func newProtocol(self Member, seeds []netip.AddrPort, timing Timing, seed uint64) *protocol {
	own := newRecord(self)
	return &protocol{
		timing:     timing,
		random:     rand.New(rand.NewPCG(seed, own.idHash)),
		self:       own,
		records:    map[NodeID]*record{self.ID: own},
		sorted:     []*record{own},
		news:       newNewsQueue(),
		stale:      true,
		changed:    true,
		urgent:     true,
		probes:     make(map[uint64]*probe),
		relays:     make(map[uint64]relay),
		joinPeriod: timing.JoinPeriod,
		seeds:      seeds,
	}
}

// step takes one event at time now, which never falls, and returns what to do.
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
	p.allowForPause()
	p.lastTick = p.now
	p.checkProbes()
	p.checkSuspicions()
	p.startProbes()
	p.startDigests()
	p.forgetDead()
	p.publish()
}

// allowForPause gives every waiting time back that this node itself missed, so that it
// does not blame others for its own pause.
func (p *protocol) allowForPause() {
	missed := p.now.Sub(p.lastTick) - p.timing.Tick
	if p.lastTick.IsZero() || missed < pauseTicks*p.timing.Tick {
		return
	}
	clear(p.probes)
	clear(p.relays)
	for _, held := range p.suspects() {
		held.silentSince = held.silentSince.Add(missed)
		held.deadline = held.deadline.Add(missed)
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

func (p *protocol) report(held *record, kind changeKind) {
	change := changeAction{id: held.ID, zone: held.Zone, incarnation: held.Incarnation, kind: kind}
	if kind == changeDead {
		change.silence = p.now.Sub(held.silentSince)
	}
	p.actions = append(p.actions, change)
}

// sender is this node's part of each message.
func (p *protocol) sender() *membershippb.Sender {
	return &membershippb.Sender{
		Id:               string(p.self.ID),
		Incarnation:      p.self.Incarnation,
		ConfigRevision:   p.self.Revisions.Configuration,
		ReplicasRevision: p.self.Revisions.Replicas,
	}
}

// hear notes that a message came from its sender. It returns false where the sender,
// or its present incarnation, is not known.
func (p *protocol) hear(from netip.AddrPort, sender *membershippb.Sender) bool {
	held := p.records[NodeID(sender.GetId())]
	switch {
	case held == nil:
		return false
	case held == p.self:
		return true
	case sender.GetIncarnation() > held.Incarnation:
		// It lives, whatever was suspected of its earlier incarnation.
		held.lastHeard = p.now
		return false
	case sender.GetIncarnation() < held.Incarnation:
		// An old message, or a node whose clock went back over its restart: it must
		// learn which incarnation to exceed.
		p.sendRecords(from, []*record{held})
		return true
	}
	held.lastHeard = p.now
	p.learnRevisions(held, Revisions{Configuration: sender.GetConfigRevision(), Replicas: sender.GetReplicasRevision()})
	if held.State == Dead && !held.left {
		p.sendRecords(from, []*record{held})
	}
	return true
}

// learnRevisions keeps the highest revisions heard of in one incarnation.
func (p *protocol) learnRevisions(held *record, heard Revisions) {
	newest := held.Revisions.Join(heard)
	if newest != held.Revisions {
		held.Revisions = newest
		p.changed = true
	}
}

// setStore changes this node's own attributes, which takes a new incarnation.
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

// stop tells the others at once that this node is gone, so that nobody waits for it.
func (p *protocol) stop() {
	p.self.State = Dead
	p.self.left = true
	p.announceSelf()
}

// announceSelf tells the own zone and a sample of the others at once, and passes the
// news on from then.
func (p *protocol) announceSelf() {
	p.stale, p.changed, p.urgent = true, true, true
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

// publish gives readers a new view where something changed: at once where somebody
// leaves or died, after a while for all else.
func (p *protocol) publish() {
	if p.changed && (p.urgent || !p.now.Before(p.nextPublish)) {
		p.publishNow()
	}
}

func (p *protocol) publishNow() {
	p.changed, p.urgent = false, false
	p.published = len(p.sorted)
	p.nextPublish = p.now.Add(p.timing.PublishPeriod)
	p.version++
	view := &View{Self: p.self.ID, Version: p.version, Members: make([]Member, 0, len(p.sorted))}
	for _, held := range p.sorted {
		member := held.Member
		if held.leaving && member.State == Suspect || member.State == Alive && p.listedLeaving[held.ID] {
			member.State = Leaving
		}
		view.Members = append(view.Members, member)
	}
	p.actions = append(p.actions, publishAction{view: view})
}
