package memory

import (
	"context"
	"errors"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/transport"
)

var errStopped = errors.New("the peer stopped")

// Transport is one node's end of a Network. It is a transport.Caller and a
// transport.Registrar.
type Transport struct {
	network  *Network
	address  netip.AddrPort
	counters *transport.Counters
	exchange *transport.Exchange
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewTransport returns an end of network at address; it takes no frames before Start.
func NewTransport(network *Network, address netip.AddrPort, registerer prometheus.Registerer) (*Transport, error) {
	counters, err := transport.NewCounters(registerer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		network:  network,
		address:  address,
		counters: counters,
		exchange: transport.NewExchange(counters),
		ctx:      ctx,
		cancel:   cancel,
	}, nil
}

// Handle registers a handler; call it before Start.
func (t *Transport) Handle(method transport.Method, newRequest func() proto.Message, handler transport.Handler) {
	t.exchange.Handle(method, newRequest, handler)
}

// Start lets frames in. A transport that was at the same address is replaced.
func (t *Transport) Start() { t.network.attach(t) }

// Stop lets no more frames in or out and waits for handlers.
func (t *Transport) Stop() {
	t.cancel()
	t.network.detach(t)
	t.exchange.Wait()
}

// Address is where the transport is on its network.
func (t *Transport) Address() netip.AddrPort { return t.address }

// Call sends a request to a node and waits for the answer.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, method transport.Method, request, response proto.Message) error {
	return t.exchange.Call(ctx, edge{local: t, peer: to}, method, request, response)
}

// Send sends a one-way message to a node.
func (t *Transport) Send(to netip.AddrPort, method transport.Method, message proto.Message) error {
	return t.exchange.Send(edge{local: t, peer: to}, method, message)
}

// edge is the way from one transport to a peer; edges of the same ends are equal.
type edge struct {
	local *Transport
	peer  netip.AddrPort
}

// Peer returns the other end.
func (e edge) Peer() netip.AddrPort { return e.peer }

// Enqueue hands the frame to the network.
func (e edge) Enqueue(_ context.Context, frame *transport.Outgoing) error {
	e.local.network.waitWhilePaused(e.local.address)
	if e.local.ctx.Err() != nil {
		return transport.KindNotSent.New("the transport does not run")
	}
	if !frame.Depart() {
		return nil
	}
	e.local.counters.Sent(frame.Method, len(frame.Encoded))
	return e.local.network.carry(e.local.address, e.peer, frame.Encoded)
}
