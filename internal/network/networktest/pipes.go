package networktest

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// Pipes is a network in memory with one listener an address. It is safe for concurrent use.
type Pipes struct {
	// FailFirstAccept has the first Accept of each listener fail, as for want of file descriptors.
	FailFirstAccept bool

	// mutex guards listeners.
	mutex     sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

// NewPipes returns a network without listeners.
func NewPipes() *Pipes { return &Pipes{listeners: map[netip.AddrPort]*pipeListener{}} }

// Listen opens a listener.
func (p *Pipes) Listen(_ context.Context, address netip.AddrPort) (net.Listener, error) {
	listener := &pipeListener{address: address, dialled: make(chan net.Conn), closed: make(chan struct{}), failsNext: p.FailFirstAccept}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listeners[address] = listener
	return listener, nil
}

// Dial connects to the listener at address, once that accepts.
func (p *Pipes) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	p.mutex.Lock()
	listener := p.listeners[address]
	p.mutex.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case listener.dialled <- far:
		return near, nil
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts what Pipes dials.
type pipeListener struct {
	address   netip.AddrPort
	dialled   chan net.Conn
	once      sync.Once
	closed    chan struct{}
	failsNext bool
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if l.failsNext {
		l.failsNext = false
		return nil, errors.New("too many open files")
	}
	select {
	case connection := <-l.dialled:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
