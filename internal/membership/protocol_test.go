package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

const (
	simulatedNodes = 5
	simulatedZones = 2
	// healTime is how long nodes have to agree after any faults: the longest join backoff plus a
	// death and a return.
	healTime = 40 * time.Second
)

// failer is the part of rapid.T and testing.T that ends a test.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// simulation drives protocols without goroutines, clock or network.
type simulation struct {
	t      failer
	now    time.Time
	nodes  []*simulatedNode
	queue  []simulatedMessage
	random *rand.Rand // seeded by a drawn value
	faulty bool
	loss   int // percent
}

type simulatedNode struct {
	member   Member
	protocol *protocol // nil while the node is down
	paused   bool
	highest  uint64           // highest incarnation that the node ever had
	revision int64            // highest revision of the current run
	reported map[uint64]int64 // highest revision by incarnation, over all runs that had it
	view     *View
}

type simulatedMessage struct {
	from, to netip.AddrPort
	message  proto.Message
}

func newSimulation(t failer, seed uint64) *simulation {
	s := &simulation{t: t, now: time.Unix(1_000_000, 0)}
	s.random = rand.New(rand.NewPCG(seed, 0))
	for number := range simulatedNodes {
		s.nodes = append(s.nodes, &simulatedNode{reported: map[uint64]int64{}, member: Member{
			ID:          NodeID(fmt.Sprintf("n%d", number)),
			Region:      "r",
			Zone:        fmt.Sprintf("z%d", number%simulatedZones),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), testPort),
		}})
	}
	for _, node := range s.nodes {
		s.start(node, uint64(s.now.UnixMicro()))
	}
	return s
}

func (s *simulation) start(node *simulatedNode, incarnation uint64) {
	node.member.Incarnation = incarnation
	// All nodes are seeds: nodes whose contacts are all gone for good could not find each other.
	var seeds []netip.AddrPort
	for _, contact := range s.nodes {
		seeds = append(seeds, contact.member.PeerAddress)
	}
	node.protocol = newProtocol(node.member, seeds, DefaultTiming(), incarnation)
	node.highest = max(node.highest, incarnation)
	node.revision = 0
	node.paused = false
}

func (s *simulation) do(node *simulatedNode, input event) {
	for _, output := range node.protocol.step(s.now, input) {
		switch typed := output.(type) {
		case sendAction:
			s.queue = append(s.queue, simulatedMessage{from: node.member.PeerAddress, to: typed.to, message: typed.message})
		case publishAction:
			node.view = typed.view
		}
	}
	node.highest = max(node.highest, node.protocol.self.Incarnation)
	own := node.protocol.self
	node.revision = max(node.revision, own.Revisions.Configuration)
	node.reported[own.Incarnation] = max(node.reported[own.Incarnation], own.Revisions.Configuration)
}

// advance delivers the queued messages, during faults reordered and with losses and duplicates, and
// then moves time by one tick.
func (s *simulation) advance() {
	waiting := s.queue
	s.queue = nil
	if s.faulty && len(waiting) > 1 {
		first := s.random.IntN(len(waiting))
		waiting = append(waiting[first:len(waiting):len(waiting)], waiting[:first]...)
	}
	for _, message := range waiting {
		s.deliver(message)
	}
	s.now = s.now.Add(DefaultTiming().Tick)
	for _, node := range s.nodes {
		if node.protocol != nil && !node.paused {
			s.do(node, tickEvent{})
		}
	}
	s.checkAlways()
}

func (s *simulation) deliver(message simulatedMessage) {
	copies := 1
	if s.faulty && s.loss > 0 {
		switch draw := s.random.IntN(100); {
		case draw < s.loss:
			return
		case draw > 97:
			copies = 2
		}
	}
	for _, node := range s.nodes {
		if node.member.PeerAddress != message.to || node.protocol == nil {
			continue
		}
		if node.paused {
			s.queue = append(s.queue, message)
			continue
		}
		for range copies {
			s.do(node, messageEvent{from: message.from, message: message.message})
		}
	}
}

// checkAlways checks the invariants of every state: only a node itself raises its incarnation and
// revision, and no node holds itself dead.
func (s *simulation) checkAlways() {
	for _, node := range s.nodes {
		if node.protocol == nil {
			continue
		}
		if node.protocol.self.State == Dead {
			s.t.Fatalf("%s: own state is Dead", node.member.ID)
		}
		for _, other := range s.nodes {
			member := node.protocol.records[other.member.ID]
			if member == nil {
				continue
			}
			if member.Incarnation > other.highest {
				s.t.Fatalf("%s holds %s at incarnation %d, highest was %d", node.member.ID, other.member.ID, member.Incarnation, other.highest)
			}
			if highest := other.reported[member.Incarnation]; member.Revisions.Configuration > highest {
				s.t.Fatalf("%s holds %s at incarnation %d and revision %d, highest was %d", node.member.ID, other.member.ID, member.Incarnation, member.Revisions.Configuration, highest)
			}
		}
	}
}

// fault applies one drawn fault or change.
func (s *simulation) fault(t *rapid.T) {
	node := rapid.SampledFrom(s.nodes).Draw(t, "node")
	switch kind := rapid.SampledFrom([]string{"crash", "start", "clock back", "pause", "resume", "leave", "store", "revision"}).Draw(t, "fault"); {
	case kind == "start" && node.protocol == nil:
		s.start(node, uint64(s.now.UnixMicro()))
	case kind == "clock back" && node.protocol == nil:
		s.start(node, node.highest-1)
	case node.protocol == nil:
	case kind == "crash":
		node.protocol = nil
	case kind == "pause":
		node.paused = true
	case kind == "resume":
		node.paused = false
	case node.paused:
	case kind == "leave":
		s.do(node, leaveEvent{})
	case kind == "store":
		s.do(node, storeEvent{incarnation: fmt.Sprint(s.now.UnixNano())})
	case kind == "revision":
		s.do(node, revisionEvent{revisions: Revisions{Configuration: node.revision + 1, Replicas: 2*node.revision + 1}})
	}
}

func TestFaultsHealWhateverTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		s.faulty = true
		s.loss = rapid.IntRange(0, 30).Draw(t, "loss in percent")
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			s.fault(t)
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				s.advance()
			}
		}
		s.faulty = false
		for _, node := range s.nodes {
			node.paused = false
		}
		for end := s.now.Add(healTime); s.now.Before(end); {
			s.advance()
		}
		s.checkHealed()
	})
}

// A node whose clock went back may restart with an incarnation that it had before. Others then hold
// revisions of the earlier run until the node learns of that incarnation and exceeds it.
func TestRestartReusesEarlierIncarnation(t *testing.T) {
	for _, raised := range []bool{false, true} {
		s := newSimulation(t, 0)
		node := s.nodes[2]
		first := node.highest
		s.do(node, revisionEvent{revisions: Revisions{Configuration: 1, Replicas: 1}})
		s.advance()
		if raised {
			s.do(node, storeEvent{incarnation: "disk"})
		}
		s.advance()
		node.protocol = nil
		s.advance()
		s.start(node, first)
		for end := s.now.Add(healTime); s.now.Before(end); {
			s.advance()
		}
		s.checkHealed()
	}
}

// checkHealed checks that all running nodes hold each other in their actual state, and hold no
// other node alive.
func (s *simulation) checkHealed() {
	for _, observer := range s.nodes {
		if observer.protocol == nil {
			continue
		}
		for _, subject := range s.nodes {
			member, present := observer.view.Find(subject.member.ID)
			if subject.protocol == nil {
				if present && member.State != Dead {
					s.t.Fatalf("%s holds %s %s, it is down", observer.member.ID, subject.member.ID, member.State)
				}
				continue
			}
			own := subject.protocol.self
			if !present || member.State != own.State || member.Incarnation != own.Incarnation ||
				member.StoreIncarnation != own.StoreIncarnation || member.Revisions != own.Revisions {
				s.t.Fatalf("%s holds %+v, it is %+v", observer.member.ID, member, own.Member)
			}
		}
	}
}
