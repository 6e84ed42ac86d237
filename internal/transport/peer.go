package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/network"
)

const (
	dialTimeout      = 3 * time.Second
	firstDialBackoff = 50 * time.Millisecond
	maxDialBackoff   = time.Second
	// idleTimeout closes a dialled connection on which nothing moved and no call waits.
	idleTimeout     = 2 * time.Minute
	idleCheckPeriod = 10 * time.Second
	// quietLimit is the time without a byte of a peer, after something was sent to it, after which it is asked for a sign; a connection on
	// which none comes within signTimeout is replaced. Together they are below the 3 s after which a deployment counts on a machine again
	// whose connections were lost. It costs a call each 1.5 s to a peer that is only sent one-way messages.
	quietLimit  = 1500 * time.Millisecond
	signTimeout = 500 * time.Millisecond
)

// errBackingOff fails frames for a peer that could not be reached a moment ago.
var errBackingOff = errors.New("the peer was unreachable a moment ago")

// peer is the dialled way to one node. Its goroutine owns the connection.
type peer struct {
	transport *TCP
	address   netip.AddrPort
	queue     *sendQueue
	// lastUsed is the time of the last frame in either direction, lastReceived that of the last one received, in Unix nanoseconds.
	lastUsed     atomic.Int64
	lastReceived atomic.Int64
}

// Peer returns the address that this transport dials.
func (p *peer) Peer() netip.AddrPort { return p.address }

// Enqueue queues a frame.
func (p *peer) Enqueue(ctx context.Context, frame *Outgoing) error {
	p.touch()
	return p.queue.put(ctx, p.address, frame)
}

func (p *peer) touch() { p.lastUsed.Store(time.Now().UnixNano()) }

// received notes a frame from the peer.
func (p *peer) received() {
	p.touch()
	p.lastReceived.Store(time.Now().UnixNano())
}

// quietSince says that nothing came from the peer since then.
func (p *peer) quietSince(then time.Time) bool { return p.lastReceived.Load() < then.UnixNano() }

// givesSign asks the peer for a sign; whatever frame comes from it meanwhile is one.
func (p *peer) givesSign(ctx context.Context) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, signTimeout)
	defer cancel()
	err := p.transport.exchange.Call(ctx, p, methodSign, &emptypb.Empty{}, &emptypb.Empty{})
	return err == nil || !p.quietSince(began)
}

func (p *peer) idle() bool {
	unused := time.Since(time.Unix(0, p.lastUsed.Load()))
	return unused > idleTimeout && !p.transport.exchange.waitsOn(p)
}

// run dials when there is something to send, until ctx ends. While the peer is
// unreachable, frames fail at once with KindNotSent and the next dial waits for a
// jittered backoff.
func (p *peer) run(ctx context.Context) {
	defer p.queue.failAll(context.Canceled)
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstDialBackoff, maxDialBackoff
	wait.Reset()
	var nextDial time.Time
	for {
		var first *Outgoing
		select {
		case first = <-p.queue.frames:
		case <-ctx.Done():
			return
		}
		if time.Now().Before(nextDial) {
			p.drop(first, errBackingOff)
			continue
		}
		connection, err := p.dial(ctx)
		if err != nil {
			p.drop(first, err)
			p.queue.failAll(err)
			nextDial = time.Now().Add(wait.NextBackOff())
			continue
		}
		wait.Reset()
		p.serve(ctx, connection, first)
	}
}

// drop gives up a frame that was taken from the queue and never departed.
func (p *peer) drop(frame *Outgoing, cause error) {
	p.queue.taken(frame)
	frame.Fail(cause)
}

func (p *peer) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := p.transport.network.Dial(ctx, p.address)
	if err == nil {
		network.Watch(connection, keepAlive)
	}
	return connection, err
}

// serve runs one connection until it ends.
func (p *peer) serve(ctx context.Context, connection net.Conn, first *Outgoing) {
	exchange, counters := p.transport.exchange, p.transport.counters
	whole := ctx
	ctx, cancel := context.WithCancel(whole)
	defer cancel()
	var readError error
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		defer cancel()
		readError = p.read(ctx, connection)
	}()
	writer := newWriter(connection, counters, p.queue)
	writer.quiet = newQuietWatch(p, func() {
		p.transport.logger.Info().Stringer(logging.FieldPeer, p.address).Msg("silent_connection_closed")
		counters.silentConnections.Inc()
		// Its end is what is wanted, whatever comes of it.
		_ = connection.Close()
	})
	defer writer.quiet.stop()
	writeError := writer.writeHello(p.transport.hello)
	if writeError == nil {
		writeError = writer.writeBatch(first, writeTimeout)
	} else {
		p.drop(first, writeError)
	}
	if writeError == nil {
		writeError = writer.run(ctx, whole, p.idle)
	}
	_ = connection.Close()
	<-readerDone
	p.transport.logBroken(p.address, readError)
	exchange.LinkClosed(p, writeError)
}

func (p *peer) read(ctx context.Context, connection net.Conn) error {
	reader := bufio.NewReaderSize(connection, bufferBytes)
	if _, err := readHello(reader, p.transport.counters); err != nil {
		return err
	}
	return readLoop(ctx, reader, p.transport.exchange, p, p.received)
}

// isMalformed says whether err is the peer's fault and worth a log line.
func isMalformed(err error) bool { return errorx.IsOfType(err, KindMalformed) }
