package relay

import (
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// digest summarizes the configuration of a node.
type digest struct {
	revision int64
	hash     uint64
	// known is false on a node that has no configuration yet.
	known bool
	// ready is set if the configuration is in force at the sender.
	ready bool
	// asks requests a digest in return in any case.
	asks bool
}

// event is an input of protocol.step.
type event interface{ isEvent() }

// Events.
type (
	// eventTick reports the time since the node started.
	eventTick struct{ now time.Duration }
	eventView struct{ view *membership.View }

	// eventSaved delivers the document loaded from disk, before all events of the store and of peers.
	eventSaved struct{ document *document }

	// eventListed is the result of actionList.
	eventListed struct {
		listing platform.Listing
		err     error
	}
	// eventHeadRead is the result of actionReadHead.
	eventHeadRead struct {
		revision int64
		err      error
	}
	// eventWatched is an event of watch number watch; an event with Err ends the watch.
	eventWatched struct {
		watch   uint64
		changed platform.WatchEvent
	}

	eventDelta struct {
		from  netip.AddrPort
		delta *delta
	}
	eventDigest struct {
		from   netip.AddrPort
		digest digest
	}
	// eventPulled is the result of actionPull. Neither deltas nor document is set if the peer has nothing newer.
	eventPulled struct {
		from     netip.AddrPort
		deltas   []*delta
		document *document
		err      error
	}
)

func (eventTick) isEvent()     {}
func (eventView) isEvent()     {}
func (eventSaved) isEvent()    {}
func (eventListed) isEvent()   {}
func (eventHeadRead) isEvent() {}
func (eventWatched) isEvent()  {}
func (eventDelta) isEvent()    {}
func (eventDigest) isEvent()   {}
func (eventPulled) isEvent()   {}

// action is an output of protocol.step.
type action interface{ isAction() }

// Actions.
type (
	// actionPublish puts document in force.
	actionPublish struct{ document *document }
	// actionReady marks the node as ready. It is returned once.
	actionReady struct{}

	actionList     struct{}
	actionReadHead struct{}
	// actionWatch opens a watch; its events carry the number watch.
	actionWatch struct {
		watch        uint64
		fromRevision int64
	}
	actionStopWatch struct{}

	actionSendDelta struct {
		to    []netip.AddrPort
		delta *delta
	}
	actionSendDigest struct {
		to     netip.AddrPort
		digest digest
	}
	// actionPull requests the changes after revision from a peer, or the whole document if known is false.
	actionPull struct {
		from     netip.AddrPort
		revision int64
		known    bool
	}
	// actionReport logs and counts a problem.
	actionReport struct {
		problem problem
		from    netip.AddrPort
		err     error
	}
)

func (actionPublish) isAction()    {}
func (actionReady) isAction()      {}
func (actionList) isAction()       {}
func (actionReadHead) isAction()   {}
func (actionWatch) isAction()      {}
func (actionStopWatch) isAction()  {}
func (actionSendDelta) isAction()  {}
func (actionSendDigest) isAction() {}
func (actionPull) isAction()       {}
func (actionReport) isAction()     {}

// problem is the log event and metric label of an actionReport.
type problem string

const (
	problemStoreUnreadable  problem = "configuration_store_unreadable"
	problemStoreUnavailable problem = "configuration_store_away"
	problemContentDiffers   problem = "configuration_content_differs"
	problemStoreOlder       problem = "configuration_store_older_than_in_force"
)
