package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
)

const (
	protocolVersion = 1
	// helloTimeout bounds the write of a hello and, on accepted connections, the wait for the peer's.
	helloTimeout = 5 * time.Second
	// writeTimeout bounds one flush; a peer that accepts no bytes for this long is disconnected.
	writeTimeout = 10 * time.Second
	// drainTimeout bounds the final flush when the transport stops.
	drainTimeout = time.Second
	// bufferBytes is the size of a connection's read and write buffer.
	bufferBytes = 4 << 10
)

// errIdle is the cause of closing a connection that was unused for idleTimeout.
var errIdle = errors.New("connection idle")

// encodeHello returns the encoded hello, which each side sends as its first frame.
func encodeHello(node string, listen netip.AddrPort) ([]byte, error) {
	payload, err := proto.Marshal(&transportpb.Hello{
		ProtocolVersion: protocolVersion,
		NodeId:          node,
		ListenAddress:   listen.String(),
	})
	if err != nil {
		return nil, err
	}
	return EncodeFrame(&transportpb.Frame{Kind: transportpb.Frame_KIND_HELLO, Payload: payload})
}

// readHello reads the peer's first frame and returns its listen address. A frame that is not a
// valid hello is an error of KindMalformed.
func readHello(reader io.Reader, counters *Counters) (netip.AddrPort, error) {
	frame, size, err := ReadFrame(reader)
	if err != nil {
		return netip.AddrPort{}, err
	}
	counters.Received(methodHello, size)
	if frame.GetKind() != transportpb.Frame_KIND_HELLO {
		return netip.AddrPort{}, KindMalformed.New("the first frame is no hello but of kind %d", frame.GetKind())
	}
	hello := &transportpb.Hello{}
	if err := proto.Unmarshal(frame.GetPayload(), hello); err != nil {
		return netip.AddrPort{}, KindMalformed.New("hello is not valid: %s", err.Error())
	}
	if hello.GetProtocolVersion() != protocolVersion {
		return netip.AddrPort{}, KindMalformed.New("protocol version %d is not %d", hello.GetProtocolVersion(), protocolVersion)
	}
	address, err := netip.ParseAddrPort(hello.GetListenAddress())
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}, KindMalformed.New("listen address %q of hello is no IP:port", hello.GetListenAddress())
	}
	return address, nil
}

// writer sends queued frames over one connection.
type writer struct {
	connection net.Conn
	buffer     *bufio.Writer
	counters   *Counters
	queue      *sendQueue
	// silence is notified of each frame sent; nil on accepted connections.
	silence *silenceDetector
}

func newWriter(connection net.Conn, counters *Counters, queue *sendQueue) *writer {
	return &writer{
		connection: connection,
		buffer:     bufio.NewWriterSize(connection, bufferBytes),
		counters:   counters,
		queue:      queue,
	}
}

// writeHello writes and flushes the hello.
func (w *writer) writeHello(encoded []byte) error {
	if err := w.connection.SetWriteDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	if _, err := w.buffer.Write(encoded); err != nil {
		return err
	}
	w.counters.Sent(methodHello, len(encoded))
	return w.buffer.Flush()
}

// run writes frames until ctx ends, the connection breaks, or idle reports that the
// connection is unused. If transportContext has ended too, run flushes the queued
// frames; otherwise they stay queued for the next connection.
func (w *writer) run(ctx, transportContext context.Context, idle func() bool) error {
	ticker := time.NewTicker(idleCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case frame := <-w.queue.frames:
			if err := w.writeBatch(frame, writeTimeout); err != nil {
				return err
			}
		case <-ticker.C:
			if idle() {
				return errIdle
			}
		case <-ctx.Done():
			if transportContext.Err() != nil {
				return w.drain(transportContext)
			}
			return ctx.Err()
		}
	}
}

// writeBatch writes frame and all frames queued behind it, then flushes.
func (w *writer) writeBatch(frame *Outgoing, timeout time.Duration) error {
	if err := w.connection.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	for {
		if err := w.writeFrame(frame); err != nil {
			return err
		}
		select {
		case frame = <-w.queue.frames:
		default:
			return w.buffer.Flush()
		}
	}
}

func (w *writer) writeFrame(frame *Outgoing) error {
	w.queue.releaseBytes(frame)
	if !frame.MarkSent() {
		return nil
	}
	if _, err := w.buffer.Write(frame.Encoded); err != nil {
		return err
	}
	w.counters.Sent(frame.Method, len(frame.Encoded))
	if w.silence != nil {
		w.silence.noteSent()
	}
	return nil
}

func (w *writer) drain(ctx context.Context) error {
	select {
	case frame := <-w.queue.frames:
		if err := w.writeBatch(frame, drainTimeout); err != nil {
			return err
		}
	default:
	}
	return ctx.Err()
}

// readLoop passes frames to exchange until the connection ends, and calls used for each.
// ctx must end with the connection.
func readLoop(ctx context.Context, reader io.Reader, exchange *Exchange, link Link, used func()) error {
	for {
		frame, size, err := ReadFrame(reader)
		if err != nil {
			return err
		}
		used()
		if err := exchange.Receive(ctx, link, frame, size); err != nil {
			return err
		}
	}
}
