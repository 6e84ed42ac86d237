// Package networktest provides networks for tests.
package networktest

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/sloelift/sloelift/internal/network"
)

// Silencer is a Network whose open connections can be silenced permanently: they deliver no more data in either direction and are not
// reset, while new connections work. It is safe for concurrent use.
type Silencer struct {
	network.Network

	// mutex guards connections and cutOff. Dials to addresses in cutOff get no answer.
	mutex       sync.Mutex
	connections []*connection
	cutOff      map[netip.AddrPort]bool
	// refuseCutOff makes connections to addresses in cutOff be refused at once.
	refuseCutOff bool
}

// NewSilencer returns a Silencer over inner.
func NewSilencer(inner network.Network) *Silencer { return &Silencer{Network: inner} }

// Refuse makes dials to addresses that are cut off fail at once instead of getting no answer. It must be called before CutOff.
func (s *Silencer) Refuse() { s.refuseCutOff = true }

// CutOff makes the given addresses, and no others, unreachable for new connections.
func (s *Silencer) CutOff(addresses ...netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutOff = map[netip.AddrPort]bool{}
	for _, address := range addresses {
		s.cutOff[address] = true
	}
}

func (s *Silencer) isCutOff(address netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cutOff[address]
}

// Dial connects to address through the inner network, unless it is cut off.
func (s *Silencer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if s.isCutOff(address) {
		if s.refuseCutOff {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := s.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	dialed := &connection{Conn: inner, closed: make(chan struct{})}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections = append(s.connections, dialed)
	return dialed, nil
}

// Silence silences the connections that are currently open and returns their number.
func (s *Silencer) Silence() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, tracked := range s.connections {
		select {
		case <-tracked.closed:
		default:
			tracked.silent.Store(true)
			count++
		}
	}
	s.connections = nil
	return count
}

// connection is a dialed connection.
type connection struct {
	net.Conn
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read discards data while the connection is silent. If the other end closes it then, Read blocks until Close.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.silent.Load() {
			return count, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write discards content while the connection is silent.
func (c *connection) Write(content []byte) (int, error) {
	if c.silent.Load() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
