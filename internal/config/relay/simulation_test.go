package relay

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

const (
	simulatedZones = 2
	simulatedNodes = 8
)

// simulation drives the protocols of a few nodes against a simulated store. Each message
// and response is queued until a test delivers or drops it.
type simulation struct {
	fatal    func(format string, arguments ...any)
	now      time.Duration
	nodes    []*simulatedNode
	messages []simulatedMessage
	// versions are the accepted documents by revision; listings and changes are the store's history.
	versions      []*document
	listings      []platform.Listing
	changes       []platform.WatchEvent
	storeRevision int64
	compacted     int64
	starts        uint64
}

type simulatedNode struct {
	member   membership.Member
	protocol *protocol
	started  time.Duration
	highest  int64
	ready    bool
	listing  bool
	reading  bool
	watching bool
	watch    uint64
	next     int64
}

type simulatedMessage struct {
	to    int
	input event
	// pull is a request by from; it is answered with the state of the node at delivery.
	pull *actionPull
	from netip.AddrPort
}

func newSimulation(fatal func(string, ...any)) *simulation {
	s := &simulation{fatal: fatal, storeRevision: 1, versions: []*document{newDocument(0, 1, nil)}}
	s.listings = []platform.Listing{{Revision: 1}}
	for index := range simulatedNodes {
		s.nodes = append(s.nodes, &simulatedNode{member: membership.Member{
			ID:          membership.NodeID(fmt.Sprintf("node-%d", index)),
			Zone:        fmt.Sprintf("zone-%d", index%simulatedZones),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(index+1)),
		}})
		s.restart(index, false)
	}
	return s
}

// restart restarts a node; with a disk it keeps its latest document.
func (s *simulation) restart(index int, disk bool) {
	s.starts++
	node := s.nodes[index]
	var saved *document
	if disk && node.protocol.latest != nil {
		saved, _ = decodeDocument(encodeDocument(node.protocol.latest))
	}
	*node = simulatedNode{member: node.member, started: s.now, highest: -1, protocol: newProtocol(node.member, s.starts)}
	if saved != nil {
		s.step(index, eventSaved{document: saved})
	}
}

func (s *simulation) view(index int, live func(int) bool) {
	view := &membership.View{Self: s.nodes[index].member.ID}
	for other, node := range s.nodes {
		if other == index || live(other) {
			view.Members = append(view.Members, node.member)
		}
	}
	s.step(index, eventView{view: view})
}

// apply accepts a file that puts one key and may withdraw another.
func (s *simulation) apply(key, withdrawn string) {
	last := s.versions[len(s.versions)-1]
	s.storeRevision += 2 // Other keys of the store change too.
	revision := last.revision + 1
	head := []byte(fmt.Sprintf(`{"revision":%d}`, revision))
	value := []byte(fmt.Sprintf("%s at %d", key, revision))
	event := platform.WatchEvent{Revision: s.storeRevision, Changed: []platform.Entry{
		{Key: config.KeyHead, Value: head}, {Key: config.KeyPrefix + key, Value: value},
	}}
	if _, present := last.objects[withdrawn]; present && withdrawn != key {
		event.Deleted = []string{config.KeyPrefix + withdrawn}
	}
	change, err := deltaOf(event)
	if err != nil {
		s.fatal("%v", err)
	}
	next := last.apply(change)
	listing := platform.Listing{Revision: s.storeRevision, Entries: []platform.Entry{{Key: config.KeyHead, Value: head}}}
	for key, value := range next.objects {
		listing.Entries = append(listing.Entries, platform.Entry{Key: config.KeyPrefix + key, Value: value})
	}
	s.versions = append(s.versions, next)
	s.listings = append(s.listings, listing)
	s.changes = append(s.changes, event)
}

func (s *simulation) tick(index int) {
	s.step(index, eventTick{now: s.now - s.nodes[index].started})
}

func (s *simulation) step(index int, input event) {
	node := s.nodes[index]
	for _, output := range node.protocol.step(input) {
		s.perform(index, output)
	}
	if revision := node.protocol.revision(); revision < node.highest {
		s.fatal("node %d: the revision decreased from %d to %d", index, node.highest, revision)
	} else {
		node.highest = revision
	}
}

func (s *simulation) perform(index int, output action) {
	node := s.nodes[index]
	switch typed := output.(type) {
	case actionPublish:
		if accepted := s.versions[typed.document.revision]; accepted.hash != typed.document.hash {
			s.fatal("node %d: the content of revision %d is not the accepted one", index, accepted.revision)
		}
	case actionReady:
		node.ready = true
	case actionList:
		node.listing = true
	case actionReadHead:
		node.reading = true
	case actionWatch:
		node.watching, node.watch, node.next = true, typed.watch, typed.fromRevision
	case actionStopWatch:
		node.watching = false
	case actionSendDelta:
		for _, to := range typed.to {
			s.send(to, eventDelta{from: node.member.PeerAddress, delta: decodeDelta(encodeDelta(typed.delta))})
		}
	case actionSendDigest:
		s.send(typed.to, eventDigest{from: node.member.PeerAddress, digest: decodeDigest(encodeDigest(typed.digest))})
	case actionPull:
		s.messages = append(s.messages, simulatedMessage{to: s.indexOf(typed.from), pull: &typed, from: node.member.PeerAddress})
	case actionReport:
		if typed.problem == problemContentDiffers {
			s.fatal("node %d reports %s", index, typed.problem)
		}
	}
}

func (s *simulation) indexOf(address netip.AddrPort) int { return int(address.Port()) - 1 }

func (s *simulation) send(to netip.AddrPort, input event) {
	s.messages = append(s.messages, simulatedMessage{to: s.indexOf(to), input: input})
}

// take removes a message from the queue and delivers or loses it. A lost pull is a failed call.
func (s *simulation) take(position int, lost bool) {
	message := s.messages[position]
	s.messages = append(s.messages[:position:position], s.messages[position+1:]...)
	s.deliver(message, lost)
}

func (s *simulation) deliver(message simulatedMessage, lost bool) {
	switch {
	case message.pull != nil && lost:
		s.step(s.indexOf(message.from), eventPulled{from: message.pull.from, err: platform.KindUnavailable.New("lost")})
	case message.pull != nil:
		response := answerPull(s.nodes[message.to].protocol.latest, pullRequest(*message.pull))
		s.step(s.indexOf(message.from), pulledEvent(message.pull.from, response, nil))
	case !lost:
		s.step(message.to, message.input)
	}
}

// answerStore completes the store call that the node waits for, from a state that is stale versions old, or with a
// failure.
func (s *simulation) answerStore(index int, stale int, fails bool) {
	node := s.nodes[index]
	var failure error
	if fails {
		failure = platform.KindUnavailable.New("outage")
	}
	version := max(0, len(s.versions)-1-stale)
	switch {
	case node.listing:
		node.listing = false
		s.step(index, eventListed{listing: s.listings[version], err: failure})
	case node.reading:
		node.reading = false
		s.step(index, eventHeadRead{revision: int64(version), err: failure})
	case node.watching && fails:
		s.step(index, eventWatched{watch: node.watch, changed: platform.WatchEvent{Err: failure}})
	case node.watching:
		s.advanceWatch(index)
	}
}

func (s *simulation) advanceWatch(index int) {
	node := s.nodes[index]
	if node.next <= s.compacted {
		s.step(index, eventWatched{watch: node.watch, changed: platform.WatchEvent{Err: platform.KindCompacted.New("compacted")}})
		return
	}
	for _, change := range s.changes {
		if change.Revision >= node.next {
			node.next = change.Revision + 1
			s.step(index, eventWatched{watch: node.watch, changed: change})
			return
		}
	}
}

// settle runs rounds of ticks in which all messages are delivered; the store responds if storeWorks.
func (s *simulation) settle(rounds int, storeWorks bool) {
	for index := range s.nodes {
		s.view(index, func(int) bool { return true })
	}
	for range rounds {
		s.now += tickInterval
		for index := range s.nodes {
			s.tick(index)
			s.answerStore(index, 0, !storeWorks)
		}
		pending := s.messages
		s.messages = nil
		for _, message := range pending {
			s.deliver(message, false)
		}
	}
}

func (s *simulation) wantAllAtHead() {
	head := int64(len(s.versions) - 1)
	for index, node := range s.nodes {
		if node.protocol.revision() != head || !node.ready {
			s.fatal("node %d is at revision %d, ready %v; want %d", index, node.protocol.revision(), node.ready, head)
		}
	}
}
