package deployment

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// proxy forwards TCP connections to one address. It can silence the open connections: these drop all bytes from then on without being
// reset, while new connections work.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener

	// mutex guards open.
	mutex sync.Mutex
	open  map[*forwarded]bool
}

// forwarded is a caller's connection and the connection that it is forwarded to.
type forwarded struct {
	near, far net.Conn
	silent    atomic.Bool
}

func startProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &proxy{target: to, listener: listener, open: map[*forwarded]bool{}}
	go started.accept()
	return started, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(near)
	}
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.Dial("tcp", p.target.String())
	if err != nil {
		// The target is down: the caller notices by the closed connection.
		_ = near.Close()
		return
	}
	connection := &forwarded{near: near, far: far}
	p.mutex.Lock()
	p.open[connection] = true
	p.mutex.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { connection.copy(near, far) })
	directions.Go(func() { connection.copy(far, near) })
	directions.Wait()
	// After half-closes in both directions the descriptors are still open. Errors for connections that are already closed can be ignored.
	_, _ = near.Close(), far.Close()
	p.mutex.Lock()
	delete(p.open, connection)
	p.mutex.Unlock()
}

// copy forwards bytes in one direction and then the end of the stream. Once the connection is silent, it drops the bytes, and only the
// end of the caller's connection closes both. Errors on writing and closing are ignored, since the next read reports the closed connection.
func (c *forwarded) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		silent := c.silent.Load()
		if count > 0 && !silent {
			_, _ = to.Write(buffer[:count])
		}
		if err == nil {
			continue
		}
		if writer, isTCP := to.(*net.TCPConn); isTCP && errors.Is(err, io.EOF) && !silent {
			_ = writer.CloseWrite()
			return
		}
		if !silent || from == c.near {
			_, _ = c.near.Close(), c.far.Close()
		}
		return
	}
}

// silence silences the open connections and returns their number.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		connection.silent.Store(true)
	}
	return len(p.open)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		_, _ = connection.near.Close(), connection.far.Close()
	}
}
