package replica

import (
	"slices"
	"sync"
	"time"
)

// maxIdleConnections limits the idle connections to one replica.
const maxIdleConnections = 64

// connectionPool is a last-in, first-out pool of idle connections to one replica. Its zero value is empty and ready for use.
type connectionPool struct {
	mutex sync.Mutex
	// idle and closed are guarded by mutex.
	idle   []*connection
	closed bool
}

// take returns a reusable idle connection and closes those found unusable on the way; nil if there is none.
func (p *connectionPool) take(now time.Time) *connection {
	for {
		candidate := p.pop()
		if candidate == nil {
			return nil
		}
		if now.Before(candidate.idleUntil) && candidate.reusable() {
			return candidate
		}
		candidate.close()
	}
}

func (p *connectionPool) pop() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	taken := p.idle[last]
	p.idle = p.idle[:last]
	return taken
}

// put adds an idle connection to the pool, or closes it if the pool is full or closed.
func (p *connectionPool) put(returned *connection) {
	p.mutex.Lock()
	keep := !p.closed && len(p.idle) < maxIdleConnections
	if keep {
		p.idle = append(p.idle, returned)
	}
	p.mutex.Unlock()
	if !keep {
		returned.close()
	}
}

// anyReusable reports whether at least one idle connection is still open at the replica.
func (p *connectionPool) anyReusable() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.idle, (*connection).reusable)
}

// close closes the idle connections, and every connection that is put later.
func (p *connectionPool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.drop()
}

// drop closes the idle connections.
func (p *connectionPool) drop() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, kept := range idle {
		kept.close()
	}
}
