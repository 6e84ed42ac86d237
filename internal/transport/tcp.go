package transport

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/pause"
)

// maxInboundConnections bounds the connections dialed by peers; further ones are closed at once.
const maxInboundConnections = 4096

// keepAlive detects a vanished peer on an idle connection. There is about one connection per node and direction, so probes are few.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// acceptRetryDelay is the delay after a failed accept, for example when file descriptors have run out.
const acceptRetryDelay = 100 * time.Millisecond

// pastDeadline is a read deadline in the past; setting it interrupts pending reads.
var pastDeadline = time.Unix(1, 0)

// TCP is the transport over TCP. Each node dials its own connection to a peer when it has
// something to send, so two nodes may have one connection per direction.
type TCP struct {
	node     string
	listen   netip.AddrPort
	network  network.Network
	logger   zerolog.Logger
	counters *Counters
	exchange *Exchange

	// The fields below are set by Start, before any other goroutine runs.
	listener net.Listener
	address  netip.AddrPort
	hello    []byte
	ctx      context.Context
	stop     context.CancelFunc

	// mutex guards peers and started.
	mutex   sync.Mutex
	peers   map[netip.AddrPort]*peer
	started bool
	// running counts connection goroutines.
	running sync.WaitGroup
}

// NewTCP returns a transport on the system's network that Start makes listen on the
// address listen. node is the node ID sent to peers.
func NewTCP(node string, listen netip.AddrPort, registerer prometheus.Registerer, logger zerolog.Logger) (*TCP, error) {
	return NewTCPOver(network.System{}, node, listen, registerer, logger)
}

// NewTCPOver is like NewTCP, on the network via.
func NewTCPOver(via network.Network, node string, listen netip.AddrPort, registerer prometheus.Registerer, logger zerolog.Logger) (*TCP, error) {
	counters, err := NewCounters(registerer)
	if err != nil {
		return nil, err
	}
	return &TCP{
		node:     node,
		listen:   listen,
		network:  via,
		logger:   logger.With().Str(logging.FieldSlice, "transport").Logger(),
		counters: counters,
		exchange: NewExchange(counters),
		peers:    make(map[netip.AddrPort]*peer),
	}, nil
}

// Handle registers a handler; call it before Start.
func (t *TCP) Handle(method Method, newRequest func() proto.Message, handler Handler) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.started {
		panic("transport: handler registered after the start: " + string(method))
	}
	t.exchange.Handle(method, newRequest, handler)
}

// Start starts listening; the transport serves until Stop.
func (t *TCP) Start() error {
	listener, err := t.network.Listen(context.Background(), t.listen)
	if err != nil {
		return err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listener = listener
	t.address = listener.Addr().(*net.TCPAddr).AddrPort()
	if t.hello, err = encodeHello(t.node, t.address); err != nil {
		_ = listener.Close()
		return err
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.started = true
	t.running.Go(t.accept)
	return nil
}

// Address returns the address on which the transport listens; it is valid after Start.
func (t *TCP) Address() netip.AddrPort { return t.address }

// Stop flushes the queues of open connections, closes all connections and waits for
// running handlers.
func (t *TCP) Stop() {
	t.mutex.Lock()
	started := t.started
	t.started = false
	t.mutex.Unlock()
	if !started {
		return
	}
	t.stop()
	_ = t.listener.Close()
	t.running.Wait()
	t.exchange.Wait()
}

// Call sends a request to a node and waits for the answer.
func (t *TCP) Call(ctx context.Context, to netip.AddrPort, method Method, request, response proto.Message) error {
	peer, err := t.peer(to)
	if err != nil {
		return err
	}
	return t.exchange.Call(ctx, peer, method, request, response)
}

// Send queues a one-way message for a node.
func (t *TCP) Send(to netip.AddrPort, method Method, message proto.Message) error {
	peer, err := t.peer(to)
	if err != nil {
		return err
	}
	return t.exchange.Send(peer, method, message)
}

func (t *TCP) peer(address netip.AddrPort) (*peer, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.started {
		return nil, KindNotSent.New("the transport does not run")
	}
	known, present := t.peers[address]
	if !present {
		known = &peer{transport: t, address: address, queue: newSendQueue()}
		t.peers[address] = known
		t.running.Go(func() { known.run(t.ctx) })
	}
	return known, nil
}

func (t *TCP) accept() {
	slots := make(chan struct{}, maxInboundConnections)
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			// Keep accepting: returning here would make the node unreachable to its peers until a restart.
			t.logger.Error().Err(err).Msg("connection_not_accepted")
			pause.Sleep(t.ctx, acceptRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = connection.Close()
			continue
		}
		t.running.Go(func() {
			defer func() { <-slots }()
			t.serveInbound(connection)
		})
	}
}

func (t *TCP) serveInbound(connection net.Conn) {
	network.DetectDeadPeer(connection, keepAlive)
	// Interrupts the wait for the peer's hello when the transport stops.
	cancelInterrupt := context.AfterFunc(t.ctx, func() { _ = connection.SetReadDeadline(pastDeadline) })
	defer cancelInterrupt()
	inbound := &inbound{transport: t, connection: connection, queue: newSendQueue()}
	inbound.run(t.ctx)
}

// logBroken logs the end of a connection if a malformed frame caused it.
func (t *TCP) logBroken(peer netip.AddrPort, err error) {
	if isMalformed(err) {
		t.logger.Warn().Stringer(logging.FieldPeer, peer).Err(err).Msg("malformed_frame")
	}
}
