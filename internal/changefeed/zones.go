package changefeed

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

const (
	// directFanout is the number of members up to which a watcher sends directly to every node. Beyond it the relays of each zone
	// distribute the message, so that a watcher's link and the links between zones carry each change a few times only, regardless of the
	// number of nodes.
	directFanout = 400
	// minRelayInterval is the minimum time between two heartbeats that a relay sends to its zone, unless a heartbeat has a newer position.
	// Every watcher sends heartbeats, and one per interval is enough.
	minRelayInterval = heartbeatInterval * 9 / 10
)

// sendToAll sends a watcher's message to all other nodes, directly or through the relays.
func (f *Feed) sendToAll(view *membership.View, method transport.Method, message proto.Message) {
	if len(view.Members) <= directFanout {
		f.send(view, method, message, func(membership.Member) bool { return true })
		return
	}
	relays := f.relays.Get(view, zonerelay.Select)
	f.send(view, method, withPassOn(message), func(member membership.Member) bool { return relays.IsRelay(member.ID) })
	if relays.SelfIsRelay() {
		f.sendToZone(method, message)
	}
}

// sendToZone sends a message to the other nodes of this node's zone.
func (f *Feed) sendToZone(method transport.Method, message proto.Message) {
	view := f.viewer.View()
	self, found := view.Find(view.Self)
	if !found {
		return
	}
	f.send(view, method, message, func(member membership.Member) bool { return member.Zone == self.Zone })
}

// withPassOn returns a copy of a message that asks its receivers to relay it to their zone.
func withPassOn(message proto.Message) proto.Message {
	copied := proto.Clone(message)
	switch typed := copied.(type) {
	case *changefeedpb.Changes:
		typed.PassOn = true
	case *changefeedpb.Heartbeat:
		typed.PassOn = true
	}
	return copied
}

// send queues message for the other nodes for which include returns true. A node for which it cannot be queued detects the gap by the
// next message or heartbeat.
func (f *Feed) send(
	view *membership.View, method transport.Method, message proto.Message, include func(membership.Member) bool,
) {
	failed := 0
	var lastErr error
	for _, member := range view.Members {
		if member.ID == view.Self || member.State == membership.Dead || !include(member) {
			continue
		}
		if err := f.caller.Send(member.PeerAddress, method, message); err != nil {
			failed++
			lastErr = err
		}
	}
	if failed > 0 {
		f.logger.Warn().Err(lastErr).Str("method", string(method)).Int("nodes", failed).Msg("message_not_queued")
	}
}

// relayState tracks what a relay has sent to its zone. It is safe for concurrent use.
type relayState struct {
	mutex sync.Mutex
	// sentRevisions holds, by prefix, the revision up to which changes were relayed, sentPositions the position last relayed in a
	// heartbeat, and heartbeatAt is when that was.
	sentRevisions map[string]int64
	sentPositions map[string]int64
	heartbeatAt   time.Time
}

func newRelayState() *relayState {
	return &relayState{sentRevisions: map[string]int64{}, sentPositions: map[string]int64{}}
}

// acceptChanges reports whether changes are to be relayed, and records them as relayed. Changes that the other watcher has already sent
// are not, nor are changes after a gap, which would make every receiver list.
func (z *relayState) acceptChanges(changes *changefeedpb.Changes) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	sent, known := z.sentRevisions[changes.GetPrefix()]
	if lastRevision(changes) <= sent || known && changes.GetPrevious() > sent {
		return false
	}
	z.sentRevisions[changes.GetPrefix()] = lastRevision(changes)
	return true
}

// acceptHeartbeat reports whether a heartbeat is to be relayed, and records it as relayed. It is if it has a newer position or if the last
// one was relayed at least minRelayInterval ago.
func (z *relayState) acceptHeartbeat(heartbeat *changefeedpb.Heartbeat, now time.Time) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	newer := false
	for _, position := range heartbeat.GetPositions() {
		if position.GetRevision() > z.sentPositions[position.GetPrefix()] {
			z.sentPositions[position.GetPrefix()] = position.GetRevision()
			newer = true
		}
	}
	if !newer && now.Sub(z.heartbeatAt) < minRelayInterval {
		return false
	}
	z.heartbeatAt = now
	// Nodes list the changes up to the position themselves, so that a gap before it no longer blocks later changes.
	for prefix, position := range z.sentPositions {
		if sent, known := z.sentRevisions[prefix]; known && position > sent {
			z.sentRevisions[prefix] = position
		}
	}
	return true
}
