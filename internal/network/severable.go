package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Severable is a Network that simulates failures of a machine: Sever closes all
// listeners and connections permanently, Pause holds back all bytes until Resume, and
// SetReachable partitions it from chosen peers.
type Severable struct {
	inner Network

	// mutex guards the fields below.
	mutex   sync.Mutex
	severed bool
	// resumed is closed while the network is not paused.
	resumed     chan struct{}
	reachable   func(netip.AddrPort) bool
	connections map[*severableConn]struct{}
	listeners   map[net.Listener]struct{}
}

// NewSeverable returns a Severable over inner.
func NewSeverable(inner Network) *Severable {
	resumed := make(chan struct{})
	close(resumed)
	return &Severable{
		inner:       inner,
		resumed:     resumed,
		connections: make(map[*severableConn]struct{}),
		listeners:   make(map[net.Listener]struct{}),
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

// Dial opens a connection; it waits while the network is paused, and fails if the peer is unreachable.
func (s *Severable) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if err := s.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	if !s.isReachable(address) {
		return nil, syscall.EHOSTUNREACH
	}
	conn, err := s.inner.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.track(conn, address)
}

// Sever closes every listener and resets every connection; new ones are refused from then on.
func (s *Severable) Sever() {
	s.mutex.Lock()
	s.severed = true
	listeners, conns := s.listeners, s.connections
	s.listeners, s.connections = make(map[net.Listener]struct{}), make(map[*severableConn]struct{})
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

// SetReachable makes dials fail to addresses for which reachable returns false, and resets
// connections dialed to them. If reachable is nil, all are reachable. Accepted connections are
// reset by the networks of the peers that dialed them.
func (s *Severable) SetReachable(reachable func(netip.AddrPort) bool) {
	s.mutex.Lock()
	s.reachable = reachable
	var unreachable []*severableConn
	for conn := range s.connections {
		if conn.remote.IsValid() && reachable != nil && !reachable(conn.remote) {
			unreachable = append(unreachable, conn)
		}
	}
	s.mutex.Unlock()
	for _, conn := range unreachable {
		_ = conn.reset()
	}
}

func (s *Severable) isReachable(address netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.severed {
		return false
	}
	return s.reachable == nil || s.reachable(address)
}

// waitWhilePaused blocks while the network is paused, until ctx ends; it fails if the network is severed.
func (s *Severable) waitWhilePaused(ctx context.Context) error {
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

// track wraps conn and registers it; remote is the dialed address, invalid for an accepted connection.
func (s *Severable) track(conn net.Conn, remote netip.AddrPort) (net.Conn, error) {
	tracked := &severableConn{Conn: conn, network: s, remote: remote}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.severed {
		_ = tracked.reset()
		return nil, syscall.ENETDOWN
	}
	s.connections[tracked] = struct{}{}
	return tracked, nil
}

func (s *Severable) untrack(conn *severableConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, conn)
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

// Close closes the listener and unregisters it.
func (l *severableListener) Close() error {
	l.network.mutex.Lock()
	delete(l.network.listeners, l.Listener)
	l.network.mutex.Unlock()
	return l.Listener.Close()
}

type severableConn struct {
	net.Conn
	network *Severable
	remote  netip.AddrPort
}

// Read reads, and holds the bytes back while the network is paused.
func (c *severableConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if waitErr := c.network.waitWhilePaused(context.Background()); waitErr != nil {
		return 0, waitErr
	}
	return count, err
}

// Write waits while the network is paused, then writes.
func (c *severableConn) Write(buffer []byte) (int, error) {
	if err := c.network.waitWhilePaused(context.Background()); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// Close closes the connection and unregisters it.
func (c *severableConn) Close() error {
	c.network.untrack(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset instead of an orderly shutdown.
func (c *severableConn) reset() error {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = c.SetDeadline(time.Unix(0, 1))
	return c.Conn.Close()
}
