package fleet

import (
	"net/netip"
	"time"

	fleetpb "github.com/sloelift/sloelift/api/proto/fleet"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// event is an input of state.step.
type event interface{ isEvent() }

// machinesListed is a new machine list from the platform.
type machinesListed struct{ listing platform.MachineListing }

// viewChanged is a new membership view.
type viewChanged struct{ view *membership.View }

// loadPolled is the result of polling an engine for its load; failed is true if the poll failed.
type loadPolled struct {
	replica string
	report  engine.LoadReport
	failed  bool
}

// deltaReceived is a message with loads from another home node.
type deltaReceived struct{ delta *fleetpb.LoadDelta }

// noticeReceived is a message naming replicas that another node found to be leaving.
type noticeReceived struct{ notice *fleetpb.LeavingNotice }

// evidenceKind is the outcome of a call of this node to a replica.
type evidenceKind int

const (
	evidenceSuccess evidenceKind = iota
	evidenceFailure
	evidenceLeaving
)

// evidenceReported reports the outcome of one call of this node to a replica.
type evidenceReported struct {
	replica string
	kind    evidenceKind
}

// ticked is a tick of the control goroutine's timer.
type ticked struct{}

func (machinesListed) isEvent()   {}
func (viewChanged) isEvent()      {}
func (loadPolled) isEvent()       {}
func (deltaReceived) isEvent()    {}
func (noticeReceived) isEvent()   {}
func (evidenceReported) isEvent() {}
func (ticked) isEvent()           {}

// action is an output of state.step.
type action interface{ isAction() }

// publishDirectory makes a Directory the current one.
type publishDirectory struct{ directory *Directory }

// sendDelta sends loads to members.
type sendDelta struct {
	to    []netip.AddrPort
	delta *fleetpb.LoadDelta
}

// sendNotice notifies members of leaving replicas.
type sendNotice struct {
	to     []netip.AddrPort
	notice *fleetpb.LeavingNotice
}

// setPolls replaces the set of replicas that this node polls, because it is their home.
type setPolls struct {
	endpoints map[string]engine.Endpoint
	interval  time.Duration
}

func (publishDirectory) isAction() {}
func (sendDelta) isAction()        {}
func (sendNotice) isAction()       {}
func (setPolls) isAction()         {}
