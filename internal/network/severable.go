package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Severable is a Network whose owner can be cut off as a machine is: Sever closes
// all of it at once and for good, Pause holds all bytes back until Resume, and
// SetReachable refuses chosen peers.
type Severable struct {
	inner Network

	// mutex guards all below. resumed is closed while the network is not paused.
	mutex     sync.Mutex
	severed   bool
	resumed   chan struct{}
	reachable func(netip.AddrPort) bool
	closers   map[*severableConn]struct{}
	listeners map[net.Listener]struct{}
}

// NewSeverable returns a Severable over inner.
func NewSeverable(inner Network) *Severable {
	resumed := make(chan struct{})
	close(resumed)
	return &Severable{
		inner:     inner,
		resumed:   resumed,
		closers:   make(map[*severableConn]struct{}),
		listeners: make(map[net.Listener]struct{}),
	}
}

// Listen opens a listener that closes with the network.
func (s *Severable) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	listener, err := s.inner.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.severed {
		_ = listener.Close()
		return nil, syscall.ENETDOWN
	}
	s.listeners[listener] = struct{}{}
	return &severableListener{Listener: listener, network: s}, nil
}

// Dial opens a connection unless the peer is cut off.
func (s *Severable) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	if !s.allows(address) {
		return nil, syscall.EHOSTUNREACH
	}
	conn, err := s.inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.track(conn, address)
}

// Sever closes every listener and connection; nothing can be opened any more.
func (s *Severable) Sever() {
	s.mutex.Lock()
	s.severed = true
	listeners, conns := s.listeners, s.closers
	s.listeners, s.closers = make(map[net.Listener]struct{}), make(map[*severableConn]struct{})
	s.resumeLocked()
	s.mutex.Unlock()
	for listener := range listeners {
		_ = listener.Close()
	}
	for conn := range conns {
		_ = conn.reset()
	}
}

// Pause holds back all reads, writes and dials until Resume.
func (s *Severable) Pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.resumed:
		s.resumed = make(chan struct{})
	default:
	}
}

// Resume ends a Pause.
func (s *Severable) Resume() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resumeLocked()
}

func (s *Severable) resumeLocked() {
	select {
	case <-s.resumed:
	default:
		close(s.resumed)
	}
}

// SetReachable makes dials fail, and resets dialled connections, to addresses for
// which reachable is false. nil makes all reachable. Connections that peers opened are
// cut by the peers' own networks.
func (s *Severable) SetReachable(reachable func(netip.AddrPort) bool) {
	s.mutex.Lock()
	s.reachable = reachable
	var cut []*severableConn
	for conn := range s.closers {
		if conn.dialled.IsValid() && reachable != nil && !reachable(conn.dialled) {
			cut = append(cut, conn)
		}
	}
	s.mutex.Unlock()
	for _, conn := range cut {
		_ = conn.reset()
	}
}

func (s *Severable) allows(address netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.severed {
		return false
	}
	return s.reachable == nil || s.reachable(address)
}

// wait blocks while the network is paused.
func (s *Severable) wait(ctx context.Context) error {
	for {
		s.mutex.Lock()
		resumed, severed := s.resumed, s.severed
		s.mutex.Unlock()
		if severed {
			return syscall.ENETDOWN
		}
		select {
		case <-resumed:
			return nil
		default:
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// track takes conn over; dialled is not valid for an accepted one.
func (s *Severable) track(conn net.Conn, dialled netip.AddrPort) (net.Conn, error) {
	tracked := &severableConn{Conn: conn, network: s, dialled: dialled}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.severed {
		_ = tracked.reset()
		return nil, syscall.ENETDOWN
	}
	s.closers[tracked] = struct{}{}
	return tracked, nil
}

func (s *Severable) forget(conn *severableConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.closers, conn)
}

type severableListener struct {
	net.Listener
	network *Severable
}

// Accept waits for a connection and tracks it.
func (l *severableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.track(conn, netip.AddrPort{})
}

// Close closes the listener and forgets it.
func (l *severableListener) Close() error {
	l.network.mutex.Lock()
	delete(l.network.listeners, l.Listener)
	l.network.mutex.Unlock()
	return l.Listener.Close()
}

type severableConn struct {
	net.Conn
	network *Severable
	dialled netip.AddrPort
}

// Read reads, and holds the bytes back while the network is paused.
func (c *severableConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if waitErr := c.network.wait(context.Background()); waitErr != nil {
		return 0, waitErr
	}
	return count, err
}

// Write waits while the network is paused, then writes.
func (c *severableConn) Write(buffer []byte) (int, error) {
	if err := c.network.wait(context.Background()); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// Close closes the connection and forgets it.
func (c *severableConn) Close() error {
	c.network.forget(c)
	return c.Conn.Close()
}

// reset closes without a goodbye, as a machine that vanishes does.
func (c *severableConn) reset() error {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = c.SetDeadline(time.Unix(0, 1))
	return c.Conn.Close()
}
