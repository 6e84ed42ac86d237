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

// Methods between nodes.
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
	registerOneWay(s, registrar, methodDemand, func(m *admissionpb.Demand) event { return demandHeard{demand: m} })
	registerOneWay(s, registrar, methodRelease, func(m *admissionpb.Release) event { return releaseHeard{release: m} })
	registerOneWay(s, registrar, methodRevoke, func(m *admissionpb.Revoke) event { return revokeHeard{revoke: m} })
	registerOneWay(s, registrar, methodOnlineStarted,
		func(m *admissionpb.OnlineStarted) event { return onlineHeard{started: m} })
	transport.Handle(registrar, methodGrant, newMessage[admissionpb.GrantRequest], s.handleGrant)
	transport.Handle(registrar, methodRenew, newMessage[admissionpb.RenewRequest], s.handleRenew)
}

func newMessage[Message any]() *Message { return new(Message) }

// messagePointer is a generated message's pointer type.
type messagePointer[Message any] interface {
	*Message
	proto.Message
}

func registerOneWay[Message any, Pointer messagePointer[Message]](
	s *CreditService, registrar transport.Registrar, method transport.Method, input func(Pointer) event,
) {
	transport.Handle(registrar, method, func() Pointer { return new(Message) },
		func(_ context.Context, _ netip.AddrPort, message Pointer) (*admissionpb.Empty, error) {
			s.push(input(message))
			return &admissionpb.Empty{}, nil
		})
}

func (s *CreditService) handleGrant(ctx context.Context, _ netip.AddrPort, request *admissionpb.GrantRequest) (*admissionpb.GrantResponse, error) {
	reply := make(chan *admissionpb.GrantResponse, 1)
	s.push(grantsHeard{request: request, reply: reply})
	return await(ctx, s, reply)
}

func (s *CreditService) handleRenew(ctx context.Context, _ netip.AddrPort, request *admissionpb.RenewRequest) (*admissionpb.RenewResponse, error) {
	reply := make(chan *admissionpb.RenewResponse, 1)
	s.push(renewHeard{request: request, reply: reply})
	return await(ctx, s, reply)
}

// await waits for the control goroutine's answer.
func await[Answer any](ctx context.Context, s *CreditService, reply <-chan Answer) (Answer, error) {
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	var none Answer
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-s.stopped:
		return none, context.Canceled
	case <-timer.C:
		return none, context.DeadlineExceeded
	}
}

// sendTo sends a one-way message to a node, or pushes the event where it is this one.
func (s *CreditService) sendTo(node string, method transport.Method, message proto.Message, own event, push func(event)) {
	if node == s.settings.Node {
		push(own)
		return
	}
	if address, ok := s.address(node); ok {
		_ = s.caller.Send(address, method, message) // best effort: repeated, or the credit lapses
	}
}

// offer sends grants and reports the answer.
func (s *CreditService) offer(ctx context.Context, offered sendGrants) {
	callContext, cancel := context.WithTimeout(ctx, grantAllowance)
	defer cancel()
	var response *admissionpb.GrantResponse
	var err error
	if offered.requester == s.settings.Node {
		response, err = s.handleGrant(callContext, s.settings.PeerAddress, offered.request)
	} else if address, ok := s.address(offered.requester); ok {
		response = &admissionpb.GrantResponse{}
		err = s.caller.Call(callContext, address, methodGrant, offered.request, response)
	} else {
		err = transport.KindNotSent.New("node %s is not a member", offered.requester)
	}
	answer := grantAnswered{requester: offered.requester, lost: err != nil}
	switch {
	case err == nil:
		answer.declined = response.GetDeclined()
	case errorx.IsOfType(err, transport.KindNotSent):
		for _, grant := range offered.request.GetGrants() {
			answer.declined = append(answer.declined, grant.GetCredit())
		}
	}
	s.push(answer)
}

// renew asks a home node to extend credits and reports the answer.
func (s *CreditService) renew(ctx context.Context, asked sendRenew) {
	callContext, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	answer := renewAnswered{home: asked.home, epoch: asked.request.GetEpoch(), sentAt: time.Now()}
	for _, use := range asked.request.GetUses() {
		answer.asked = append(answer.asked, use.GetCredit())
	}
	var err error
	if asked.home == s.settings.Node {
		answer.response, err = s.handleRenew(callContext, s.settings.PeerAddress, asked.request)
	} else if address, ok := s.address(asked.home); ok {
		answer.response = &admissionpb.RenewResponse{}
		err = s.caller.Call(callContext, address, methodRenew, asked.request, answer.response)
	} else {
		err = context.Canceled
	}
	if err != nil {
		answer.response = nil
	}
	s.push(answer)
}

// announce sends a demand to the home nodes whose replicas have the most room, and an
// empty one to all that an earlier one may have reached.
func (s *CreditService) announce(demand *admissionpb.Demand) {
	for _, home := range s.homesWithRoom(demand) {
		own := proto.Clone(demand).(*admissionpb.Demand)
		s.sendTo(home, methodDemand, demand, demandHeard{demand: own}, s.pushLater)
	}
}

// homesWithRoom returns the home nodes of replicas that can serve the demand, those with
// most free slots first, at most DemandHomes of them.
func (s *CreditService) homesWithRoom(demand *admissionpb.Demand) []string {
	wanted := make(map[string]bool)
	for _, group := range demand.GetGroups() {
		wanted[group.GetService()] = true
	}
	room := make(map[string]int)
	for _, replica := range s.fleet.Directory().Replicas {
		if len(wanted) > 0 && !wanted[replica.Service] || replica.Leaving {
			continue
		}
		if replica.Home != "" {
			room[string(replica.Home)] += freeSlots(&replica)
		}
	}
	homes := make([]string, 0, len(room))
	for home := range room {
		homes = append(homes, home)
	}
	rand.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	slices.SortStableFunc(homes, func(a, b string) int { return room[b] - room[a] })
	return homes[:min(len(homes), s.options.DemandHomes)]
}

func freeSlots(replica *fleet.Replica) int {
	if !replica.HasLoad {
		return 0
	}
	return max(0, replica.Load.MaxRunning-replica.Load.Running-replica.Load.Waiting)
}
