package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
)

// event is an input of the protocol. now is the time at which it is taken.
type event interface{ isEvent() }

// tickEvent moves time on.
type tickEvent struct{}

// messageEvent is a message from a peer.
type messageEvent struct {
	from    netip.AddrPort
	message proto.Message
}

// listingEvent is a fresh machine list.
type listingEvent struct{ machines []platform.Machine }

// leaveEvent starts a planned leave.
type leaveEvent struct{}

// stopEvent ends a node that stops as planned.
type stopEvent struct{}

// storeEvent sets this node's store incarnation.
type storeEvent struct{ incarnation string }

// revisionEvent tells of revisions in force here.
type revisionEvent struct{ revisions Revisions }

// contactEvent names a node to join through.
type contactEvent struct{ address netip.AddrPort }

func (tickEvent) isEvent()     {}
func (messageEvent) isEvent()  {}
func (listingEvent) isEvent()  {}
func (leaveEvent) isEvent()    {}
func (stopEvent) isEvent()     {}
func (storeEvent) isEvent()    {}
func (revisionEvent) isEvent() {}
func (contactEvent) isEvent()  {}

// action is an output of the protocol.
type action interface{ isAction() }

// sendAction sends a one-way message.
type sendAction struct {
	to      netip.AddrPort
	method  transport.Method
	message proto.Message
}

// publishAction replaces the view that readers see.
type publishAction struct{ view *View }

// changeAction reports a member's change of state, for the log and the counters.
type changeAction struct {
	id          NodeID
	zone        string
	incarnation uint64
	kind        changeKind
	// silence is how long a member that is now dead was silent.
	silence time.Duration
}

// changeKind names what happened to a member.
type changeKind string

const (
	changeJoined    changeKind = "joined"
	changeReturned  changeKind = "returned"
	changeLeaving   changeKind = "leaving"
	changeLeft      changeKind = "left"
	changeSuspect   changeKind = "suspect"
	changeRefuted   changeKind = "refuted"
	changeDead      changeKind = "dead"
	changeForgotten changeKind = "forgotten"
)

func (sendAction) isAction()    {}
func (publishAction) isAction() {}
func (changeAction) isAction()  {}
