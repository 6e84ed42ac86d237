package admission

import (
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
	"github.com/sloelift/sloelift/internal/engine"
)

// event is an input of homeState.step or requesterState.step.
type event interface{ isEvent() }

// action is an output of a step.
type action interface{ isAction() }

// homedReplica is a replica that this node grants credits for.
type homedReplica struct {
	id      string
	service string
	// batchLimit is the service's BatchConcurrentPerReplica.
	batchLimit int
	// closed: the replica is leaving, draining or failing, and takes nothing new; what runs
	// there runs to its end.
	closed bool
	// lost: the replica is unreachable, or no longer this home's.
	lost bool
}

// Events of the home node.
type (
	// homesChanged replaces the set of homed replicas.
	homesChanged struct{ replicas []homedReplica }
	// loadHeard is a report of a homed replica.
	loadHeard struct {
		replica string
		report  engine.LoadReport
		heardAt time.Time
	}
	// demandHeard is what a node has waiting.
	demandHeard struct{ demand *admissionpb.Demand }
	// renewHeard asks to extend credits; reply gets the answer and has room for it.
	renewHeard struct {
		request *admissionpb.RenewRequest
		reply   chan<- *admissionpb.RenewResponse
	}
	// releaseHeard gives credits back.
	releaseHeard struct{ release *admissionpb.Release }
	// onlineHeard tells of online requests that start on homed replicas.
	onlineHeard struct{ started *admissionpb.OnlineStarted }
	// grantAnswered is the requester's answer; lost means that there was none. Credits
	// that surely did not reach it are declined.
	grantAnswered struct {
		requester string
		declined  []uint64
		lost      bool
	}
	// ticked is the passing of time.
	ticked struct{}
)

// Actions of the home node.
type (
	// sendGrants offers credits to a requester.
	sendGrants struct {
		requester string
		request   *admissionpb.GrantRequest
	}
	// sendRevoke takes credits back from a requester.
	sendRevoke struct {
		requester string
		revoke    *admissionpb.Revoke
	}
	// noteRevoked tells operators that credits of a replica are taken back.
	noteRevoked struct {
		replica string
		count   int
		online  int
		reason  revokeReason
	}
	// answerRenew answers a renewHeard.
	answerRenew struct {
		reply    chan<- *admissionpb.RenewResponse
		response *admissionpb.RenewResponse
	}
)

// revokeReason is why credits are taken back.
type revokeReason string

// Reasons of a revocation.
const (
	// revokedForOnline: online requests need the slots.
	revokedForOnline revokeReason = "online"
	// revokedWithoutReport: the replica's load is not known any more.
	revokedWithoutReport revokeReason = "no_report"
	// revokedLost: the replica is unreachable or another node's.
	revokedLost revokeReason = "lost"
)

// creditKey names a credit among all nodes and their restarts.
type creditKey struct {
	home   string
	epoch  uint64
	credit uint64
}

// Events of the requester.
type (
	// itemWaits is a batch item that needs a credit.
	itemWaits struct {
		item    uint64
		request *BatchRequest
	}
	// itemLeaves is an item that no longer waits.
	itemLeaves struct{ item uint64 }
	// creditEnded is an item that has ended or left its replica.
	creditEnded struct{ key creditKey }
	// grantsHeard offers credits; reply gets those declined and has room for them.
	grantsHeard struct {
		request *admissionpb.GrantRequest
		reply   chan<- *admissionpb.GrantResponse
	}
	// revokeHeard takes credits back.
	revokeHeard struct{ revoke *admissionpb.Revoke }
	// renewAnswered is a home node's answer; response is nil where there was none.
	renewAnswered struct {
		home     string
		epoch    uint64
		sentAt   time.Time
		asked    []uint64
		response *admissionpb.RenewResponse
	}
)

// Actions of the requester.
type (
	// deliverCredit hands a credit to a waiting item.
	deliverCredit struct {
		item    uint64
		key     creditKey
		replica string
		expires time.Time
	}
	// takeCredit tells an item to leave its replica at once.
	takeCredit struct{ key creditKey }
	// noteLapsed tells operators that a credit ended without a renewal or a revocation.
	noteLapsed struct {
		key     creditKey
		replica string
	}
	// answerGrants answers a grantsHeard.
	answerGrants struct {
		reply    chan<- *admissionpb.GrantResponse
		response *admissionpb.GrantResponse
	}
	// sendDemand announces waiting items to home nodes that may have room.
	sendDemand struct{ demand *admissionpb.Demand }
	// sendRenew asks a home node to extend credits.
	sendRenew struct {
		home    string
		request *admissionpb.RenewRequest
	}
	// sendRelease gives credits back.
	sendRelease struct {
		home    string
		release *admissionpb.Release
	}
)

func (homesChanged) isEvent()  {}
func (loadHeard) isEvent()     {}
func (demandHeard) isEvent()   {}
func (renewHeard) isEvent()    {}
func (releaseHeard) isEvent()  {}
func (onlineHeard) isEvent()   {}
func (grantAnswered) isEvent() {}
func (ticked) isEvent()        {}
func (itemWaits) isEvent()     {}
func (itemLeaves) isEvent()    {}
func (creditEnded) isEvent()   {}
func (grantsHeard) isEvent()   {}
func (revokeHeard) isEvent()   {}
func (renewAnswered) isEvent() {}

func (sendGrants) isAction()    {}
func (sendRevoke) isAction()    {}
func (noteRevoked) isAction()   {}
func (noteLapsed) isAction()    {}
func (answerRenew) isAction()   {}
func (deliverCredit) isAction() {}
func (takeCredit) isAction()    {}
func (answerGrants) isAction()  {}
func (sendDemand) isAction()    {}
func (sendRenew) isAction()     {}
func (sendRelease) isAction()   {}
