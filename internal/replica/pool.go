package replica

import (
	"slices"
	"sync"
	"time"
)

// maxIdleConnections bounds the kept connections to one replica.
const maxIdleConnections = 64

// connectionPool keeps idle connections to one replica; the one used last goes out first. Its zero value is empty.
type connectionPool struct {
	mutex sync.Mutex
	// idle and closed are guarded by mutex.
	idle   []*connection
	closed bool
}

// take returns an idle connection that can be used; nil where there is none.
func (p *connectionPool) take(now time.Time) *connection {
	for {
		candidate := p.pop()
		if candidate == nil {
			return nil
		}
		if now.Before(candidate.idleUntil) && candidate.quiet() {
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

// put keeps an idle connection, or closes it.
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

// anyQuiet says that the other end has closed not all that is kept.
func (p *connectionPool) anyQuiet() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.idle, (*connection).quiet)
}

// close closes what is kept, and all that is put later.
func (p *connectionPool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.drop()
}

// drop closes what is kept.
func (p *connectionPool) drop() {
	p.mutex.Lock()
	idle := p.idle
	p.idle = nil
	p.mutex.Unlock()
	for _, kept := range idle {
		kept.close()
	}
}
