package engine

import (
	"net/http"
	"sync"
)

// gate blocks the work of a frozen engine. It is safe for concurrent use.
type gate struct {
	mutex sync.Mutex
	// opened is closed while the gate is open.
	opened chan struct{}
	shut   bool
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{opened: opened}
}

func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.shut {
		g.shut, g.opened = true, make(chan struct{})
	}
}

func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.shut {
		g.shut = false
		close(g.opened)
	}
}

// wait blocks while the gate is shut. It returns false if ended is closed.
func (g *gate) wait(ended <-chan struct{}) bool {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
	}
	select {
	case <-opened:
		return true
	case <-ended:
		return false
	}
}

// hold returns a handler that blocks requests while the gate is shut.
func (g *gate) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if g.wait(request.Context().Done()) {
			next.ServeHTTP(writer, request)
		}
	})
}
