// Package unreached notes the nodes that gave no answer a short while ago, so that others are asked first.
package unreached

import (
	"net/netip"
	"sync"
	"time"
)

// Peers are the nodes that gave no answer. It is safe for concurrent use.
type Peers struct {
	keep  time.Duration
	mutex sync.Mutex
	// until holds the time up to which a node counts as unreached.
	until map[netip.AddrPort]time.Time
}

// NewPeers returns an empty Peers that remembers each node for keep.
func NewPeers(keep time.Duration) *Peers {
	return &Peers{keep: keep, until: map[netip.AddrPort]time.Time{}}
}

// Note takes in that the node at address gave no answer.
func (p *Peers) Note(address netip.AddrPort, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until[address] = now.Add(p.keep)
}

// Forget takes in that the node at address is there after all.
func (p *Peers) Forget(address netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.until, address)
}

// Recent says that the node at address gave no answer a short while ago.
func (p *Peers) Recent(address netip.AddrPort, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	until, noted := p.until[address]
	if noted && now.After(until) {
		delete(p.until, address)
		return false
	}
	return noted
}
