package admission

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods of messages between nodes.
const (
	methodDemand        transport.Method = "admission.demand"
	methodGrant         transport.Method = "admission.grant"
	methodRenew         transport.Method = "admission.renew"
	methodRelease       transport.Method = "admission.release"
	methodRevoke        transport.Method = "admission.revoke"
	methodOnlineStarted transport.Method = "admission.online_started"
)

// Register registers the handlers of messages from other nodes.
func (s *CreditService) Register(registrar transport.Registrar) {
	registerOneWay(s, registrar, methodDemand, func(m *admissionpb.Demand) event { return demandReceived{demand: m} })
	registerOneWay(s, registrar, methodRelease, func(m *admissionpb.Release) event { return releaseReceived{release: m} })
	registerOneWay(s, registrar, methodRevoke, func(m *admissionpb.Revoke) event { return revokeReceived{revoke: m} })
	registerOneWay(s, registrar, methodOnlineStarted,
		func(m *admissionpb.OnlineStarted) event { return onlineStartsReceived{started: m} })
	transport.Handle(registrar, methodGrant, newMessage[admissionpb.GrantRequest], s.handleGrant)
	transport.Handle(registrar, methodRenew, newMessage[admissionpb.RenewRequest], s.handleRenew)
}

func newMessage[Message any]() *Message { return new(Message) }

// messagePointer is the pointer type of a generated message.
type messagePointer[Message any] interface {
	*Message
	proto.Message
}

// registerOneWay registers a handler that turns each message into an event and replies at once.
func registerOneWay[Message any, Pointer messagePointer[Message]](
	s *CreditService, registrar transport.Registrar, method transport.Method, input func(Pointer) event,
) {
	transport.Handle(registrar, method, func() Pointer { return new(Message) },
		func(_ context.Context, _ netip.AddrPort, message Pointer) (*admissionpb.Empty, error) {
			s.enqueue(input(message))
			return &admissionpb.Empty{}, nil
		})
}

func (s *CreditService) handleGrant(
	ctx context.Context, _ netip.AddrPort, request *admissionpb.GrantRequest,
) (*admissionpb.GrantResponse, error) {
	reply := make(chan *admissionpb.GrantResponse, 1)
	s.enqueue(grantsReceived{request: request, reply: reply})
	return awaitReply(ctx, s, reply)
}

func (s *CreditService) handleRenew(
	ctx context.Context, _ netip.AddrPort, request *admissionpb.RenewRequest,
) (*admissionpb.RenewResponse, error) {
	reply := make(chan *admissionpb.RenewResponse, 1)
	s.enqueue(renewReceived{request: request, reply: reply})
	return awaitReply(ctx, s, reply)
}

// awaitReply waits up to replyTimeout for the reply of the control goroutine.
func awaitReply[Reply any](ctx context.Context, s *CreditService, reply <-chan Reply) (Reply, error) {
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	var zero Reply
	select {
	case received := <-reply:
		return received, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-s.stopped:
		return zero, context.Canceled
	case <-timer.C:
		return zero, context.DeadlineExceeded
	}
}

// sendTo sends a one-way message to a node. If that is this node, it passes the equivalent
// local event to push instead.
func (s *CreditService) sendTo(node string, method transport.Method, message proto.Message, local event, push func(event)) {
	if node == s.settings.Node {
		push(local)
		return
	}
	if address, ok := s.peerAddress(node); ok {
		_ = s.caller.Send(address, method, message) // best effort: it is repeated, or the credit expires
	}
}

// callGrant offers credits to a requester and enqueues the result. Credits whose request was
// certainly not sent count as declined.
func (s *CreditService) callGrant(ctx context.Context, grants sendGrants) {
	callContext, cancel := context.WithTimeout(ctx, grantCallTimeout)
	defer cancel()
	var response *admissionpb.GrantResponse
	var err error
	if grants.requester == s.settings.Node {
		response, err = s.handleGrant(callContext, s.settings.PeerAddress, grants.request)
	} else if address, ok := s.peerAddress(grants.requester); ok {
		response = &admissionpb.GrantResponse{}
		err = s.caller.Call(callContext, address, methodGrant, grants.request, response)
	} else {
		err = transport.KindNotSent.New("node %s is not a member", grants.requester)
	}
	reply := grantReplied{requester: grants.requester, noReply: err != nil}
	switch {
	case err == nil:
		reply.declined = response.GetDeclined()
	case errorx.IsOfType(err, transport.KindNotSent):
		for _, grant := range grants.request.GetGrants() {
			reply.declined = append(reply.declined, grant.GetCredit())
		}
	}
	s.enqueue(reply)
}

// callRenew asks a home node to renew credits and enqueues the result.
func (s *CreditService) callRenew(ctx context.Context, renewal sendRenew) {
	callContext, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply := renewReplied{home: renewal.home, epoch: renewal.request.GetEpoch(), sentAt: time.Now()}
	for _, use := range renewal.request.GetUses() {
		reply.requested = append(reply.requested, use.GetCredit())
	}
	var err error
	if renewal.home == s.settings.Node {
		reply.response, err = s.handleRenew(callContext, s.settings.PeerAddress, renewal.request)
	} else if address, ok := s.peerAddress(renewal.home); ok {
		reply.response = &admissionpb.RenewResponse{}
		err = s.caller.Call(callContext, address, methodRenew, renewal.request, reply.response)
	} else {
		err = context.Canceled
	}
	if err != nil {
		reply.response = nil
	}
	s.enqueue(reply)
}

// announceDemand sends a demand to the home nodes whose replicas have the most free slots. An
// empty demand, which withdraws earlier ones, goes to home nodes of any service.
func (s *CreditService) announceDemand(demand *admissionpb.Demand) {
	for _, home := range s.homesByFreeSlots(demand) {
		local := proto.Clone(demand).(*admissionpb.Demand)
		s.sendTo(home, methodDemand, demand, demandReceived{demand: local}, s.enqueueAsync)
	}
}

// homesByFreeSlots returns up to DemandHomes home nodes of replicas whose service is in demand,
// most free slots first and in random order among equals. For an empty demand it considers
// the replicas of all services.
func (s *CreditService) homesByFreeSlots(demand *admissionpb.Demand) []string {
	wanted := make(map[string]bool)
	for _, group := range demand.GetGroups() {
		wanted[group.GetService()] = true
	}
	freeByHome := make(map[string]int)
	for _, replica := range s.fleet.Directory().Replicas {
		if len(wanted) > 0 && !wanted[replica.Service] || replica.Leaving {
			continue
		}
		if replica.Home != "" {
			freeByHome[string(replica.Home)] += freeSlots(&replica)
		}
	}
	homes := make([]string, 0, len(freeByHome))
	for home := range freeByHome {
		homes = append(homes, home)
	}
	rand.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	slices.SortStableFunc(homes, func(a, b string) int { return freeByHome[b] - freeByHome[a] })
	return homes[:min(len(homes), s.options.DemandHomes)]
}

// freeSlots returns the free slots in the last load report of a replica, 0 without a report.
func freeSlots(replica *fleet.Replica) int {
	if !replica.HasLoad {
		return 0
	}
	return max(0, replica.Load.MaxRunning-replica.Load.Running-replica.Load.Waiting)
}
