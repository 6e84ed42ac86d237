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
	// idleTimeout is the time without frames and pending calls after which a dialed connection is closed.
	idleTimeout     = 2 * time.Minute
	idleCheckPeriod = 10 * time.Second
	// silenceLimit is the time without a frame from a peer, after something was sent to it, after which the peer is pinged. A
	// connection on which no frame arrives within pingTimeout of that is replaced. Their sum is below 3 s, the time after which
	// a deployment relies again on a machine whose connections were lost. The cost is one ping per 1.5 s to a peer that is sent
	// only one-way messages.
	silenceLimit = 1500 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
)

// errBackingOff fails frames for a peer whose last dial failed, until the backoff has passed.
var errBackingOff = errors.New("the peer was unreachable a moment ago")

// peer is the outbound link to one node. The goroutine of run owns its connection.
type peer struct {
	transport *TCP
	address   netip.AddrPort
	queue     *sendQueue
	// lastUsed is the time of the last frame in either direction, lastReceived that of the last frame received; both in Unix
	// nanoseconds.
	lastUsed     atomic.Int64
	lastReceived atomic.Int64
}

// Peer returns the address that this transport dials.
func (p *peer) Peer() netip.AddrPort { return p.address }

// Enqueue queues a frame, which run sends.
func (p *peer) Enqueue(ctx context.Context, frame *Outgoing) error {
	p.touch()
	return p.queue.put(ctx, p.address, frame)
}

func (p *peer) touch() { p.lastUsed.Store(time.Now().UnixNano()) }

// noteReceived records the arrival of a frame from the peer.
func (p *peer) noteReceived() {
	p.touch()
	p.lastReceived.Store(time.Now().UnixNano())
}

// silentSince reports whether no frame has arrived from the peer since the time then.
func (p *peer) silentSince(then time.Time) bool { return p.lastReceived.Load() < then.UnixNano() }

// answersPing pings the peer and reports whether it is alive; any frame that arrives meanwhile counts as an answer.
func (p *peer) answersPing(ctx context.Context) bool {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := p.transport.exchange.Call(ctx, p, methodPing, &emptypb.Empty{}, &emptypb.Empty{})
	return err == nil || !p.silentSince(start)
}

// idle reports whether the connection can be closed: unused for idleTimeout, with no pending call.
func (p *peer) idle() bool {
	idleFor := time.Since(time.Unix(0, p.lastUsed.Load()))
	return idleFor > idleTimeout && !p.transport.exchange.hasPendingCall(p)
}

// run dials when there is a frame to send, until ctx ends. After a failed dial, frames
// fail at once with KindNotSent until a jittered backoff has passed.
func (p *peer) run(ctx context.Context) {
	defer p.queue.failAll(context.Canceled)
	dialBackoff := backoff.NewExponentialBackOff()
	dialBackoff.InitialInterval, dialBackoff.MaxInterval = firstDialBackoff, maxDialBackoff
	dialBackoff.Reset()
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
			nextDial = time.Now().Add(dialBackoff.NextBackOff())
			continue
		}
		dialBackoff.Reset()
		p.serve(ctx, connection, first)
	}
}

// drop fails a frame that was taken from the queue and not sent.
func (p *peer) drop(frame *Outgoing, cause error) {
	p.queue.releaseBytes(frame)
	frame.Fail(cause)
}

func (p *peer) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := p.transport.network.Dial(ctx, p.address)
	if err == nil {
		network.DetectDeadPeer(connection, keepAlive)
	}
	return connection, err
}

// serve runs one connection until it ends; first is the frame for which it was dialed.
func (p *peer) serve(ctx context.Context, connection net.Conn, first *Outgoing) {
	exchange, counters := p.transport.exchange, p.transport.counters
	transportContext := ctx
	ctx, cancel := context.WithCancel(transportContext)
	defer cancel()
	var readError error
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		defer cancel()
		readError = p.read(ctx, connection)
	}()
	writer := newWriter(connection, counters, p.queue)
	writer.silence = newSilenceDetector(p, func() {
		p.transport.logger.Info().Stringer(logging.FieldPeer, p.address).Msg("silent_connection_closed")
		counters.silentConnections.Inc()
		// Closing fails the pending read and write; its own error does not matter.
		_ = connection.Close()
	})
	defer writer.silence.stop()
	writeError := writer.writeHello(p.transport.hello)
	if writeError == nil {
		writeError = writer.writeBatch(first, writeTimeout)
	} else {
		p.drop(first, writeError)
	}
	if writeError == nil {
		writeError = writer.run(ctx, transportContext, p.idle)
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
	return readLoop(ctx, reader, p.transport.exchange, p, p.noteReceived)
}

// isMalformed reports whether the peer sent an invalid frame, which is logged.
func isMalformed(err error) bool { return errorx.IsOfType(err, KindMalformed) }
