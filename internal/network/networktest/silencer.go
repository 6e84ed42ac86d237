// Package networktest has networks for tests.
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

// Silencer is a Network whose open connections can go silent for good: nothing comes and nothing arrives any more, nor is a connection
// reset, while new ones work. It is safe for concurrent use.
type Silencer struct {
	network.Network

	// mutex guards the fields below. Connections to addresses in cutOff are not made, nor refused.
	mutex  sync.Mutex
	open   []*connection
	cutOff map[netip.AddrPort]bool
	// refuses says that connections to these are refused at once.
	refuses bool
}

// NewSilencer returns a Silencer over inner.
func NewSilencer(inner network.Network) *Silencer { return &Silencer{Network: inner} }

// Refuse has connections to the addresses that are cut off be refused at once, in place of no answer. It is called before CutOff.
func (s *Silencer) Refuse() { s.refuses = true }

// CutOff has the given addresses, and no others, not be reached by new connections.
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

// Dial connects.
func (s *Silencer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if s.isCutOff(address) {
		if s.refuses {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := s.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	dialled := &connection{Conn: inner, closed: make(chan struct{})}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open = append(s.open, dialled)
	return dialled, nil
}

// Silence silences the connections that are open now, and returns their number.
func (s *Silencer) Silence() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, each := range s.open {
		select {
		case <-each.closed:
		default:
			each.silent.Store(true)
			count++
		}
	}
	s.open = nil
	return count
}

// connection is one dialled connection.
type connection struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read drops what comes while the connection is silent, its end too.
func (c *connection) Read(into []byte) (int, error) {
	for {
		count, err := c.Conn.Read(into)
		if !c.silent.Load() {
			return count, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write takes what no one gets while the connection is silent.
func (c *connection) Write(content []byte) (int, error) {
	if c.silent.Load() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// Close closes the connection.
func (c *connection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
