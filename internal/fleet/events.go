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

// machinesListed is an answer of the platform.
type machinesListed struct{ listing platform.MachineListing }

// viewChanged is a new view of the members.
type viewChanged struct{ view *membership.View }

// loadPolled is the answer of an engine that this node asked; failed where there was none.
type loadPolled struct {
	replica string
	report  engine.LoadReport
	failed  bool
}

// deltaReceived is news of another home node.
type deltaReceived struct{ delta *fleetpb.LoadDelta }

// noticeReceived names replicas that another node found leaving.
type noticeReceived struct{ notice *fleetpb.LeavingNotice }

// evidenceKind is what an own call found.
type evidenceKind int

const (
	evidenceSuccess evidenceKind = iota
	evidenceFailure
	evidenceLeaving
)

// evidenceGiven is what an own call found.
type evidenceGiven struct {
	replica string
	kind    evidenceKind
}

// ticked is the passing of time.
type ticked struct{}

func (machinesListed) isEvent() {}
func (viewChanged) isEvent()    {}
func (loadPolled) isEvent()     {}
func (deltaReceived) isEvent()  {}
func (noticeReceived) isEvent() {}
func (evidenceGiven) isEvent()  {}
func (ticked) isEvent()         {}

// action is an output of state.step.
type action interface{ isAction() }

// publishDirectory makes a Directory the present one.
type publishDirectory struct{ directory *Directory }

// sendDelta sends loads to members.
type sendDelta struct {
	to    []netip.AddrPort
	delta *fleetpb.LoadDelta
}

// sendNotice tells members of leaving replicas.
type sendNotice struct {
	to     []netip.AddrPort
	notice *fleetpb.LeavingNotice
}

// setPolls replaces the set of replicas that this node is home to.
type setPolls struct {
	endpoints map[string]engine.Endpoint
	interval  time.Duration
}

func (publishDirectory) isAction() {}
func (sendDelta) isAction()        {}
func (sendNotice) isAction()       {}
func (setPolls) isAction()         {}
