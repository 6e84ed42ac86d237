package admission

import (
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
	"github.com/sloelift/sloelift/internal/engine"
)

// event is an input of homeState.step or requesterState.step. Each state ignores the events
// of the other.
type event interface{ isEvent() }

// action is an effect that a step requests; CreditService.execute carries it out.
type action interface{ isAction() }

// homedReplica is a replica whose credits this node grants.
type homedReplica struct {
	id      string
	service string
	// batchLimit is the service's BatchConcurrentPerReplica.
	batchLimit int
	// closed is set while the replica is leaving, draining or failing. It gets no new
	// credits; items that run there finish.
	closed bool
	// lost is set when the replica is unreachable or has another home node. Its credits are
	// revoked.
	lost bool
}

// Events of the home node.
type (
	// homedReplicasChanged carries the new set of homed replicas.
	homedReplicasChanged struct{ replicas []homedReplica }
	// loadReported carries a load report of a replica; receivedAt is on this node's clock.
	loadReported struct {
		replica    string
		report     engine.LoadReport
		receivedAt time.Time
	}
	// demandReceived carries the batch items that wait at a requester.
	demandReceived struct{ demand *admissionpb.Demand }
	// renewReceived is a requester's call to renew credits. reply is buffered for one response.
	renewReceived struct {
		request *admissionpb.RenewRequest
		reply   chan<- *admissionpb.RenewResponse
	}
	// releaseReceived returns credits.
	releaseReceived struct{ release *admissionpb.Release }
	// onlineStartsReceived counts online requests that nodes have just sent to homed replicas.
	onlineStartsReceived struct{ started *admissionpb.OnlineStarted }
	// grantReplied is the result of a grant call. noReply is set if the call failed. declined
	// lists the credits that the requester refused or that cannot have reached it.
	grantReplied struct {
		requester string
		declined  []uint64
		noReply   bool
	}
	// tick is sent every creditTickInterval, for timeouts.
	tick struct{}
)

// Actions of the home node.
type (
	// sendGrants offers credits to a requester.
	sendGrants struct {
		requester string
		request   *admissionpb.GrantRequest
	}
	// sendRevoke revokes credits of a requester.
	sendRevoke struct {
		requester string
		revoke    *admissionpb.Revoke
	}
	// recordRevocation logs that credits of a replica are revoked.
	recordRevocation struct {
		replica string
		count   int
		online  int
		reason  revokeReason
	}
	// replyRenew responds to a renewReceived.
	replyRenew struct {
		reply    chan<- *admissionpb.RenewResponse
		response *admissionpb.RenewResponse
	}
)

// revokeReason is the reason of a revocation, as it is logged.
type revokeReason string

// Reasons of a revocation.
const (
	// revokedForOnline means that online requests need the slots.
	revokedForOnline revokeReason = "online"
	// revokedWithoutReport means that the last load report is missing or stale.
	revokedWithoutReport revokeReason = "no_report"
	// revokedLost means that the replica is unreachable or has another home node.
	revokedLost revokeReason = "lost"
)

// creditKey identifies a credit across all nodes. epoch is the incarnation of the home node.
type creditKey struct {
	home   string
	epoch  uint64
	credit uint64
}

// Events of the requester.
type (
	// itemQueued adds a batch item to those that wait for a credit.
	itemQueued struct {
		item    uint64
		request *BatchRequest
	}
	// itemCancelled removes a waiting item.
	itemCancelled struct{ item uint64 }
	// creditReturned reports that the item that used the credit has ended or left its replica.
	creditReturned struct{ key creditKey }
	// grantsReceived is a home node's call that offers credits. reply is buffered for one
	// response, which lists the declined ones.
	grantsReceived struct {
		request *admissionpb.GrantRequest
		reply   chan<- *admissionpb.GrantResponse
	}
	// revokeReceived revokes credits.
	revokeReceived struct{ revoke *admissionpb.Revoke }
	// renewReplied is the result of a renew call for the requested credits, which was sent at
	// sentAt. response is nil if the call failed.
	renewReplied struct {
		home      string
		epoch     uint64
		sentAt    time.Time
		requested []uint64
		response  *admissionpb.RenewResponse
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
	// withdrawCredit tells an item to leave its replica immediately.
	withdrawCredit struct{ key creditKey }
	// recordLapse logs and counts a credit that expired without a renewal or a revocation.
	recordLapse struct {
		key     creditKey
		replica string
	}
	// replyGrants responds to a grantsReceived.
	replyGrants struct {
		reply    chan<- *admissionpb.GrantResponse
		response *admissionpb.GrantResponse
	}
	// sendDemand announces waiting items to home nodes that may have free slots.
	sendDemand struct{ demand *admissionpb.Demand }
	// sendRenew asks a home node to renew credits.
	sendRenew struct {
		home    string
		request *admissionpb.RenewRequest
	}
	// sendRelease returns credits to their home node.
	sendRelease struct {
		home    string
		release *admissionpb.Release
	}
)

func (homedReplicasChanged) isEvent() {}
func (loadReported) isEvent()         {}
func (demandReceived) isEvent()       {}
func (renewReceived) isEvent()        {}
func (releaseReceived) isEvent()      {}
func (onlineStartsReceived) isEvent() {}
func (grantReplied) isEvent()         {}
func (tick) isEvent()                 {}
func (itemQueued) isEvent()           {}
func (itemCancelled) isEvent()        {}
func (creditReturned) isEvent()       {}
func (grantsReceived) isEvent()       {}
func (revokeReceived) isEvent()       {}
func (renewReplied) isEvent()         {}

func (sendGrants) isAction()       {}
func (sendRevoke) isAction()       {}
func (recordRevocation) isAction() {}
func (recordLapse) isAction()      {}
func (replyRenew) isAction()       {}
func (deliverCredit) isAction()    {}
func (withdrawCredit) isAction()   {}
func (replyGrants) isAction()      {}
func (sendDemand) isAction()       {}
func (sendRenew) isAction()        {}
func (sendRelease) isAction()      {}
