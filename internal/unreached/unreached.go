// Package unreached remembers which nodes and zones gave no answer recently, so that others are
// asked first.
package unreached

import (
	"net/netip"
	"sync"
	"time"
)

// Peers remembers the nodes that gave no answer recently. It is safe for concurrent use.
type Peers struct {
	retention time.Duration
	mutex     sync.Mutex
	// until is the time up to which a node counts as unreached.
	until map[netip.AddrPort]time.Time
}

// NewPeers returns an empty Peers. Each noted node counts as unreached for retention.
func NewPeers(retention time.Duration) *Peers {
	return &Peers{retention: retention, until: map[netip.AddrPort]time.Time{}}
}

// MarkUnreached records that the node at address gave no answer.
func (p *Peers) MarkUnreached(address netip.AddrPort, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until[address] = now.Add(p.retention)
}

// Forget records that the node at address is reachable.
func (p *Peers) Forget(address netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.until, address)
}

// IsUnreached reports whether the node at address gave no answer within the retention.
func (p *Peers) IsUnreached(address netip.AddrPort, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	until, noted := p.until[address]
	if noted && now.After(until) {
		delete(p.until, address)
		return false
	}
	return noted
}
