package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
)

// event is an input of the protocol.
type event interface{ isEvent() }

// tickEvent advances the protocol's time.
type tickEvent struct{}

// messageEvent is a message received from a peer.
type messageEvent struct {
	from    netip.AddrPort
	message proto.Message
}

// listingEvent is a newly read machine list.
type listingEvent struct{ machines []platform.Machine }

// leaveEvent starts a planned leave.
type leaveEvent struct{}

// stopEvent is the planned stop of this node.
type stopEvent struct{}

// storeEvent sets this node's store incarnation.
type storeEvent struct{ incarnation string }

// revisionEvent reports the revisions in force on this node.
type revisionEvent struct{ revisions Revisions }

// contactEvent adds an address to join through.
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

// changeAction reports a member's change of state to the log and the metrics.
type changeAction struct {
	id          NodeID
	zone        string
	incarnation uint64
	kind        changeKind
	// silence is how long a member declared dead had been silent; 0 for other kinds.
	silence time.Duration
}

// changeKind is the kind of a member's change, as it appears in the log and in metrics.
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
