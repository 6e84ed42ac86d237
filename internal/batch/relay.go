package batch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	methodRelay transport.Method = "batch.relay"
	// unreachableWindow is how long an owner that did not answer is first asked through another edge.
	unreachableWindow = 1500 * time.Millisecond
)

// relayedMessages creates the request and the response of each method that is relayed for other edges.
var relayedMessages = map[transport.Method]struct{ request, response func() proto.Message }{
	methodSubmit: {newMessage[batchpb.SubmitRequest], newMessage[batchpb.SubmitResponse]},
	methodRead:   {newMessage[batchpb.ReadRequest], newMessage[batchpb.ReadResponse]},
	methodBody:   {newMessage[batchpb.BodyRequest], newMessage[batchpb.BodyResponse]},
	methodEnd:    {newMessage[batchpb.EndRequest], newMessage[batchpb.EndResponse]},
	methodPlace:  {newMessage[batchpb.PlaceRequest], newMessage[batchpb.PlaceResponse]},
}

func newMessage[T any, Pointer interface {
	*T
	proto.Message
}]() proto.Message {
	return Pointer(new(T))
}

// pickRelayEdge returns a random live node without a store, other than this one, that may hold records of the partition; ok is false
// if there is none.
func (c *Client) pickRelayEdge(partition ledger.PartitionID) (address netip.AddrPort, ok bool) {
	view := c.viewer.View()
	var others []netip.AddrPort
	for _, member := range view.Members {
		if member.ID != view.Self && !member.Store && member.State == membership.Alive && c.homes.MayHold(partition, member.Zone) {
			others = append(others, member.PeerAddress)
		}
	}
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[rand.N(len(others))], true
}

// relay makes the call through another edge.
func (c *Client) relay(ctx context.Context, edge netip.AddrPort, method transport.Method, request partitionRequest, response proto.Message) error {
	payload, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	var relayed batchpb.RelayResponse
	err = c.caller.Call(ctx, edge, methodRelay, &batchpb.RelayRequest{Partition: request.GetPartition(), Method: string(method), Payload: payload}, &relayed)
	if err != nil {
		return err
	}
	return proto.Unmarshal(relayed.Payload, response)
}

// serveRelay makes a call on behalf of another edge. It calls only the owner and relays no further.
func (c *Client) serveRelay(ctx context.Context, _ netip.AddrPort, request *batchpb.RelayRequest) (*batchpb.RelayResponse, error) {
	messages, known := relayedMessages[transport.Method(request.Method)]
	if !known {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonInvalid, "method is not relayed")
	}
	inner, response := messages.request(), messages.response()
	if err := proto.Unmarshal(request.Payload, inner); err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "decode relayed call")
	}
	owner, failure := c.owner(ledger.PartitionID(request.Partition))
	if failure != nil {
		return nil, failure
	}
	if err := c.caller.Call(ctx, owner, transport.Method(request.Method), inner, response); err != nil {
		return nil, transport.OutcomeOf(err)
	}
	payload, err := proto.Marshal(response)
	if err != nil {
		return nil, err
	}
	return &batchpb.RelayResponse{Payload: payload}, nil
}
