package transport

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"
)

// inbound is a connection that a peer dialed. Responses to its requests are sent over it.
type inbound struct {
	transport  *TCP
	connection net.Conn
	queue      *sendQueue
	// address is the peer's listen address from its hello; set before the first request is read.
	address netip.AddrPort
}

// Peer returns the listen address that the peer gave in its hello.
func (i *inbound) Peer() netip.AddrPort { return i.address }

// Enqueue queues a response.
func (i *inbound) Enqueue(ctx context.Context, frame *Outgoing) error {
	return i.queue.put(ctx, i.address, frame)
}

// run serves the connection until it breaks or ctx ends.
func (i *inbound) run(ctx context.Context) {
	defer i.connection.Close()
	reader := bufio.NewReaderSize(i.connection, bufferBytes)
	if err := i.handshake(ctx, reader); err != nil {
		i.transport.logBroken(i.address, err)
		return
	}
	linkContext, cancel := context.WithCancel(ctx)
	defer cancel()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		writer := newWriter(i.connection, i.transport.counters, i.queue)
		_ = writer.run(linkContext, ctx, func() bool { return false })
		_ = i.connection.Close()
	}()
	err := readLoop(linkContext, reader, i.transport.exchange, i, func() {})
	cancel()
	<-writerDone
	i.transport.logBroken(i.address, err)
	i.transport.exchange.LinkClosed(i, err)
}

// handshake reads the peer's hello, bounded by helloTimeout, and replies with this node's.
func (i *inbound) handshake(ctx context.Context, reader *bufio.Reader) error {
	if err := i.connection.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	address, err := readHello(reader, i.transport.counters)
	if err != nil {
		return err
	}
	i.address = address
	if err := i.connection.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return newWriter(i.connection, i.transport.counters, i.queue).writeHello(i.transport.hello)
}
