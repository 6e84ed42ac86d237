package ledger

import (
	"context"
	"net/netip"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/store"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods of the ledger.
const (
	methodSurvey      transport.Method = "ledger.survey"
	methodPrepare     transport.Method = "ledger.prepare"
	methodPropose     transport.Method = "ledger.propose"
	methodAppend      transport.Method = "ledger.append"
	methodRead        transport.Method = "ledger.read"
	methodTrim        transport.Method = "ledger.trim"
	methodSnapshotPut transport.Method = "ledger.snapshot_put"
	methodSnapshotGet transport.Method = "ledger.snapshot_get"
	methodOwner       transport.Method = "ledger.owner"
	methodRelease     transport.Method = "ledger.release"
	methodEnsembles   transport.Method = "ledger.ensembles"
)

// registerStore registers the handlers by which owners on other nodes reach the local store. If local is nil, the
// handlers answer that the node has no store.
func registerStore(registrar transport.Registrar, local *store.Store) {
	handleStore(registrar, methodSurvey, local, (*store.Store).Survey)
	handleStore(registrar, methodPrepare, local, (*store.Store).Prepare)
	handleStore(registrar, methodPropose, local, (*store.Store).Propose)
	handleStore(registrar, methodAppend, local, (*store.Store).Append)
	handleStore(registrar, methodRead, local, (*store.Store).Read)
	handleStore(registrar, methodTrim, local, (*store.Store).Trim)
	handleStore(registrar, methodSnapshotPut, local, (*store.Store).SnapshotPut)
	handleStore(registrar, methodSnapshotGet, local, (*store.Store).SnapshotGet)
}

// message constrains a type parameter to a pointer to a generated message.
type message[T any] interface {
	*T
	transportMessage
}

func handleStore[Request any, RequestPointer message[Request], Response transportMessage](
	registrar transport.Registrar,
	method transport.Method,
	local *store.Store,
	serve func(*store.Store, context.Context, RequestPointer) (Response, error),
) {
	transport.Handle(registrar, method, func() RequestPointer { return new(Request) },
		func(ctx context.Context, _ netip.AddrPort, request RequestPointer) (Response, error) {
			if local == nil {
				var none Response
				return none, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "node has no store")
			}
			return serve(local, ctx, request)
		})
}

// registerNode registers the handlers by which other nodes ask for owners, request releases and copy ensembles.
func (m *Manager) registerNode(registrar transport.Registrar) {
	transport.Handle(registrar, methodOwner, func() *ledgerpb.OwnerRequest { return &ledgerpb.OwnerRequest{} }, m.serveOwner)
	transport.Handle(registrar, methodRelease, func() *ledgerpb.ReleaseRequest { return &ledgerpb.ReleaseRequest{} }, m.serveRelease)
	transport.Handle(registrar, methodEnsembles, func() *ledgerpb.EnsemblesRequest { return &ledgerpb.EnsemblesRequest{} }, m.serveEnsembles)
}
