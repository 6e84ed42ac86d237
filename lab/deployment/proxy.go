package deployment

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to one address, and can silence those that are open: they swallow all bytes from then on, without a reset,
// while new ones work.
type proxy struct {
	to       netip.AddrPort
	listener net.Listener

	// mutex guards open.
	mutex sync.Mutex
	open  map[*passing]bool
}

// passing is one connection and the one that it is passed on to.
type passing struct {
	near, far net.Conn
	silent    atomic.Bool
}

func startProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &proxy{to: to, listener: listener, open: map[*passing]bool{}}
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
		go p.pass(near)
	}
}

func (p *proxy) pass(near net.Conn) {
	far, err := net.Dial("tcp", p.to.String())
	if err != nil {
		// The process behind is not there: the end of the connection says so to the caller, which counts it.
		_ = near.Close()
		return
	}
	passed := &passing{near: near, far: far}
	p.mutex.Lock()
	p.open[passed] = true
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { passed.copy(near, far) })
	both.Go(func() { passed.copy(far, near) })
	both.Wait()
	// Ends that were passed on leave both half closed, and their descriptors open; those closed before give an error, which is of no matter.
	_, _ = near.Close(), far.Close()
	p.mutex.Lock()
	delete(p.open, passed)
	p.mutex.Unlock()
}

// copy passes bytes one way until the end, which it passes on too. Once silent it drops them, and the end of a caller closes both. Errors of
// writing and closing need no word: the side that reads next finds the connection ended.
func (c *passing) copy(to, from net.Conn) {
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
		if half, is := to.(*net.TCPConn); is && errors.Is(err, io.EOF) && !silent {
			_ = half.CloseWrite()
			return
		}
		if !silent || from == c.near {
			_, _ = c.near.Close(), c.far.Close()
		}
		return
	}
}

// silence silences what is open and returns the number.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for each := range p.open {
		each.silent.Store(true)
	}
	return len(p.open)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for each := range p.open {
		_, _ = each.near.Close(), each.far.Close()
	}
}
