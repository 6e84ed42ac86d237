package networktest

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// Pipes is an in-memory network with one listener per address. It is safe for concurrent use.
type Pipes struct {
	// FailFirstAccept makes the first Accept of each listener fail, as if file descriptors had run out.
	FailFirstAccept bool

	// mutex guards listeners.
	mutex     sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

// NewPipes returns a network without listeners.
func NewPipes() *Pipes { return &Pipes{listeners: map[netip.AddrPort]*pipeListener{}} }

// Listen opens a listener.
func (p *Pipes) Listen(_ context.Context, address netip.AddrPort) (net.Listener, error) {
	listener := &pipeListener{address: address, dialed: make(chan net.Conn), closed: make(chan struct{}), failNextAccept: p.FailFirstAccept}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listeners[address] = listener
	return listener, nil
}

// Dial connects to the listener at address; it waits until the listener accepts.
func (p *Pipes) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	p.mutex.Lock()
	listener := p.listeners[address]
	p.mutex.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case listener.dialed <- server:
		return client, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts the connections dialed through Pipes.
type pipeListener struct {
	address        netip.AddrPort
	dialed         chan net.Conn
	closeOnce      sync.Once
	closed         chan struct{}
	failNextAccept bool
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if l.failNextAccept {
		l.failNextAccept = false
		return nil, errors.New("too many open files")
	}
	select {
	case connection := <-l.dialed:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
