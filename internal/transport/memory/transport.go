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

// NewTransport returns a transport at address; it receives no frames before Start.
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

// Start attaches the transport to its network, replacing any other at the same address.
func (t *Transport) Start() { t.network.attach(t) }

// Stop stops receiving and sending frames and waits for running handlers.
func (t *Transport) Stop() {
	t.cancel()
	t.network.detach(t)
	t.exchange.Wait()
}

// Address returns the transport's address on its network.
func (t *Transport) Address() netip.AddrPort { return t.address }

// Call sends a request to a node and waits for the answer.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, method transport.Method, request, response proto.Message) error {
	return t.exchange.Call(ctx, link{local: t, peer: to}, method, request, response)
}

// Send sends a one-way message to a node.
func (t *Transport) Send(to netip.AddrPort, method transport.Method, message proto.Message) error {
	return t.exchange.Send(link{local: t, peer: to}, method, message)
}

// link is the path from one transport to a peer; links with the same ends compare equal.
type link struct {
	local *Transport
	peer  netip.AddrPort
}

// Peer returns the peer's address.
func (e link) Peer() netip.AddrPort { return e.peer }

// Enqueue sends the frame over the network, without queueing. It blocks while the sender is paused.
func (e link) Enqueue(_ context.Context, frame *transport.Outgoing) error {
	e.local.network.waitWhilePaused(e.local.address)
	if e.local.ctx.Err() != nil {
		return transport.KindNotSent.New("the transport does not run")
	}
	if !frame.MarkSent() {
		return nil
	}
	e.local.counters.Sent(frame.Method, len(frame.Encoded))
	return e.local.network.transmit(e.local.address, e.peer, frame.Encoded)
}
