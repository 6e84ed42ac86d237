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

// maxInboundConnections bounds connections that peers dialled.
const maxInboundConnections = 4096

// keepAlive notices a vanished peer on a quiet connection; there are as many as nodes, so that probes are few.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// acceptPause is the wait after a connection could not be accepted, as for want of file descriptors.
const acceptPause = 100 * time.Millisecond

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// TCP is the transport over TCP. Each direction between two nodes has its own
// connection, which the side with something to send dials.
type TCP struct {
	node     string
	listen   netip.AddrPort
	network  network.Network
	logger   zerolog.Logger
	counters *Counters
	exchange *Exchange

	// Set by Start, before any other goroutine runs.
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

// NewTCP returns a transport on the system's network that will listen on the address
// listen. node names this node to its peers.
func NewTCP(node string, listen netip.AddrPort, registerer prometheus.Registerer, logger zerolog.Logger) (*TCP, error) {
	return NewTCPOver(network.System{}, node, listen, registerer, logger)
}

// NewTCPOver is NewTCP on a given network.
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

// Start listens and serves until Stop.
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

// Address is the address on which the transport listens; it is valid after Start.
func (t *TCP) Address() netip.AddrPort { return t.address }

// Stop sends what is queued on open connections, closes them all and waits for
// handlers.
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
			// A listener that ended here would leave the node deaf to its peers until its end.
			t.logger.Error().Err(err).Msg("connection_not_accepted")
			pause.Sleep(t.ctx, acceptPause)
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
	network.Watch(connection, keepAlive)
	// A connection that still waits for its hello ends with the transport too.
	release := context.AfterFunc(t.ctx, func() { _ = connection.SetReadDeadline(past) })
	defer release()
	inbound := &inbound{transport: t, connection: connection, queue: newSendQueue()}
	inbound.run(t.ctx)
}

// logBroken writes one line for a connection that a malformed frame ended.
func (t *TCP) logBroken(peer netip.AddrPort, err error) {
	if isMalformed(err) {
		t.logger.Warn().Stringer(logging.FieldPeer, peer).Err(err).Msg("malformed_frame")
	}
}
