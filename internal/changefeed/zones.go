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
	// directFanout is the number of members up to which a watcher sends to each itself. Beyond it the relays of each zone send on, so that a
	// watcher's link and the links between zones carry each change a few times, however many nodes there are.
	directFanout = 400
	// heartbeatsApart is the least time between two heartbeats that a relay sends on, unless one brings news: two watchers send them.
	heartbeatsApart = heartbeatInterval * 9 / 10
)

// sendToAll has a message of a watcher reach all other nodes.
func (f *Feed) sendToAll(view *membership.View, method transport.Method, message proto.Message) {
	if len(view.Members) <= directFanout {
		f.send(view, method, message, func(membership.Member) bool { return true })
		return
	}
	relays := f.relays.Of(view, zonerelay.Of)
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

// withPassOn returns a copy of a message that has its receivers send it on.
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

// send queues message for the other nodes that are wanted. A node whose queue refuses it finds out by the next message or by a heartbeat.
func (f *Feed) send(view *membership.View, method transport.Method, message proto.Message, wanted func(membership.Member) bool) {
	refused := 0
	var last error
	for _, member := range view.Members {
		if member.ID == view.Self || member.State == membership.Dead || !wanted(member) {
			continue
		}
		if err := f.caller.Send(member.PeerAddress, method, message); err != nil {
			refused++
			last = err
		}
	}
	if refused > 0 {
		f.logger.Warn().Err(last).Str("method", string(method)).Int("nodes", refused).Msg("message_not_queued")
	}
}

// zoneState is what a relay has sent on to its zone. It is safe for concurrent use.
type zoneState struct {
	mutex sync.Mutex
	// changes are the revisions up to which changes were sent on, positions those of heartbeats, by prefix.
	changes     map[string]int64
	positions   map[string]int64
	heartbeatAt time.Time
}

func newZoneState() *zoneState {
	return &zoneState{changes: map[string]int64{}, positions: map[string]int64{}}
}

// takesChanges says that changes are to be sent on: both watchers send the same, and what has a gap before it would have each receiver list.
func (z *zoneState) takesChanges(changes *changefeedpb.Changes) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	sent, known := z.changes[changes.GetPrefix()]
	if lastRevision(changes) <= sent || known && changes.GetPrevious() > sent {
		return false
	}
	z.changes[changes.GetPrefix()] = lastRevision(changes)
	return true
}

// takesHeartbeat says that a heartbeat is to be sent on: it brings a newer position, or the last one was a while ago.
func (z *zoneState) takesHeartbeat(heartbeat *changefeedpb.Heartbeat, now time.Time) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	news := false
	for _, position := range heartbeat.GetPositions() {
		if position.GetRevision() > z.positions[position.GetPrefix()] {
			z.positions[position.GetPrefix()] = position.GetRevision()
			news = true
		}
	}
	if !news && now.Sub(z.heartbeatAt) < heartbeatsApart {
		return false
	}
	z.heartbeatAt = now
	// What a gap held up is read by the nodes themselves now.
	for prefix, position := range z.positions {
		if sent, known := z.changes[prefix]; known && position > sent {
			z.changes[prefix] = position
		}
	}
	return true
}
