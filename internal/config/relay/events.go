package relay

import (
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// digest is what a node tells of the configuration it holds.
type digest struct {
	revision int64
	hash     uint64
	// known is false on a node that has not learned any configuration yet.
	known bool
	// ready says that the sender serves by it.
	ready bool
	// asks wants an answer in any case.
	asks bool
}

// event is an input of protocol.step.
type event interface{ isEvent() }

// Events. now is the time since the node started.
type (
	eventTick struct{ now time.Duration }
	eventView struct{ view *membership.View }

	// eventSaved, which comes first, holds what was on disk.
	eventSaved struct{ document *document }

	// eventListed answers actionList.
	eventListed struct {
		listing platform.Listing
		err     error
	}
	// eventHeadRead answers actionReadHead.
	eventHeadRead struct {
		revision int64
		err      error
	}
	// eventWatched is one event of watch number watch; one with Err ends it.
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
	// eventPulled answers actionPull. Neither deltas nor document is set where the peer knew nothing newer.
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
	// actionReady says, once, that the node may serve by what is in force.
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
	// actionPull asks a peer for what comes after revision, or for the whole document where known is false.
	actionPull struct {
		from     netip.AddrPort
		revision int64
		known    bool
	}
	// actionReport logs something that should not be; it changes nothing.
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

// problem names what actionReport logs.
type problem string

const (
	problemStoreUnreadable problem = "configuration_store_unreadable"
	problemStoreAway       problem = "configuration_store_away"
	problemContentDiffers  problem = "configuration_content_differs"
	problemStoreWentBack   problem = "configuration_store_older_than_in_force"
)
