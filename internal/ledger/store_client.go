package ledger

import (
	"context"
	"net/netip"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/transport"
)

type transportMessage = proto.Message

// storeClient sends requests to the stores of ensembles; the local store is called directly.
type storeClient struct {
	local  *store.Store
	caller transport.Caller
	viewer membership.Viewer
	// refill limits the rate, in bytes per second, at which this node's owners copy records to stores that lack them.
	refill *rate.Limiter
}

// refillBytesPerSecond leaves capacity for appends on a small machine's disk and network link.
const refillBytesPerSecond = 32 << 20

func newStoreClient(local *store.Store, caller transport.Caller, viewer membership.Viewer) *storeClient {
	return &storeClient{
		local: local, caller: caller, viewer: viewer, refill: rate.NewLimiter(refillBytesPerSecond, refillBytesPerSecond),
	}
}

// address returns the current address of the member's node, or the one from when it became a member.
func (c *storeClient) address(member protocol.Member) (netip.AddrPort, error) {
	if known, found := c.viewer.View().Find(membership.NodeID(member.Node)); found && known.PeerAddress.IsValid() {
		return known.PeerAddress, nil
	}
	return netip.ParseAddrPort(member.Address)
}

func callStore[Request proto.Message, Response proto.Message](
	ctx context.Context,
	client *storeClient,
	member protocol.Member,
	method transport.Method,
	request Request,
	response Response,
	serve func(*store.Store, context.Context, Request) (Response, error),
) (Response, error) {
	if client.local != nil && client.local.ID() == member.Store {
		return serve(client.local, ctx, request)
	}
	address, err := client.address(member)
	if err != nil {
		return response, err
	}
	return response, client.caller.Call(ctx, address, method, request, response)
}

func (c *storeClient) survey(ctx context.Context, member protocol.Member, request *ledgerpb.SurveyRequest) (*ledgerpb.SurveyResponse, error) {
	return callStore(ctx, c, member, methodSurvey, request, &ledgerpb.SurveyResponse{}, (*store.Store).Survey)
}

func (c *storeClient) prepare(ctx context.Context, member protocol.Member, request *ledgerpb.PrepareRequest) (*ledgerpb.PrepareResponse, error) {
	return callStore(ctx, c, member, methodPrepare, request, &ledgerpb.PrepareResponse{}, (*store.Store).Prepare)
}

func (c *storeClient) append(ctx context.Context, member protocol.Member, request *ledgerpb.AppendRequest) (*ledgerpb.AppendResponse, error) {
	return callStore(ctx, c, member, methodAppend, request, &ledgerpb.AppendResponse{}, (*store.Store).Append)
}

func (c *storeClient) propose(ctx context.Context, member protocol.Member, request *ledgerpb.ProposeRequest) (*ledgerpb.ProposeResponse, error) {
	return callStore(ctx, c, member, methodPropose, request, &ledgerpb.ProposeResponse{}, (*store.Store).Propose)
}

func (c *storeClient) read(ctx context.Context, member protocol.Member, request *ledgerpb.ReadRequest) (*ledgerpb.ReadResponse, error) {
	return callStore(ctx, c, member, methodRead, request, &ledgerpb.ReadResponse{}, (*store.Store).Read)
}

func (c *storeClient) trim(ctx context.Context, member protocol.Member, request *ledgerpb.TrimRequest) (*ledgerpb.TrimResponse, error) {
	return callStore(ctx, c, member, methodTrim, request, &ledgerpb.TrimResponse{}, (*store.Store).Trim)
}

func (c *storeClient) snapshotPut(
	ctx context.Context, member protocol.Member, request *ledgerpb.SnapshotPutRequest,
) (*ledgerpb.SnapshotPutResponse, error) {
	return callStore(ctx, c, member, methodSnapshotPut, request, &ledgerpb.SnapshotPutResponse{}, (*store.Store).SnapshotPut)
}

func (c *storeClient) snapshotGet(
	ctx context.Context, member protocol.Member, request *ledgerpb.SnapshotGetRequest,
) (*ledgerpb.SnapshotGetResponse, error) {
	return callStore(ctx, c, member, methodSnapshotGet, request, &ledgerpb.SnapshotGetResponse{}, (*store.Store).SnapshotGet)
}
