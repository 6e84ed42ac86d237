package fleet

import (
	"context"
	"net/netip"
	"sync"

	fleetpb "github.com/sloelift/sloelift/api/proto/fleet"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
)

// Kinds of engine.CacheEvent.
const (
	cacheStored  = "stored"
	cacheEvicted = "evicted"
	cacheCleared = "cleared"
)

// maxCacheBlocks bounds the hashes in one message to the zone; what is left out is a gap.
const maxCacheBlocks = 256

// CacheChange is what cache events tell of one replica. Gap: earlier events were lost.
type CacheChange struct {
	Replica string
	Stored  []uint64
	Evicted []uint64
	Cleared bool
	Gap     bool
}

// cacheWatch follows the cache events of homed replicas and spreads evictions to the zone.
type cacheWatch struct {
	service *Service
	// mutex guards next and listeners.
	mutex     sync.Mutex
	next      map[string]uint64
	listeners []func(CacheChange)
}

func newCacheWatch(service *Service) *cacheWatch {
	return &cacheWatch{service: service, next: make(map[string]uint64)}
}

// SubscribeCache calls notify with changes of replicas' caches, from any goroutine,
// for the life of the service. notify must not block.
func (s *Service) SubscribeCache(notify func(CacheChange)) {
	s.cache.mutex.Lock()
	defer s.cache.mutex.Unlock()
	s.cache.listeners = append(s.cache.listeners, notify)
}

// poll asks one engine; a failure is left to the load poll to judge.
func (c *cacheWatch) poll(ctx context.Context, endpoint engine.Endpoint) {
	callContext, cancel := context.WithTimeout(ctx, c.service.options.PollTimeout)
	defer cancel()
	c.mutex.Lock()
	from := c.next[endpoint.Replica]
	c.mutex.Unlock()
	page, err := c.service.engines.CacheEvents(callContext, endpoint, from)
	if err != nil || len(page.Events) == 0 {
		return
	}
	c.mutex.Lock()
	c.next[endpoint.Replica] = page.Next
	c.mutex.Unlock()
	change := changeOf(endpoint.Replica, from, page)
	c.notify(change)
	c.spread(change)
}

// restarted forgets what an engine that started anew had cached; its events begin again.
func (c *cacheWatch) restarted(replica string) {
	c.mutex.Lock()
	delete(c.next, replica)
	c.mutex.Unlock()
	change := CacheChange{Replica: replica, Cleared: true}
	c.notify(change)
	c.spread(change)
}

// changeOf folds a page of events into one change.
func changeOf(replica string, from uint64, page engine.CacheEvents) CacheChange {
	change := CacheChange{Replica: replica}
	expected := from
	held := make(map[uint64]bool)
	for _, event := range page.Events {
		if expected != 0 && event.Sequence != expected {
			change.Gap = true
		}
		expected = event.Sequence + 1
		switch event.Kind {
		case cacheStored, cacheEvicted:
			for _, block := range event.Blocks {
				held[block] = event.Kind == cacheStored
			}
		case cacheCleared:
			change.Cleared = true
			clear(held)
		}
	}
	for block, stored := range held {
		if stored {
			change.Stored = append(change.Stored, block)
		} else {
			change.Evicted = append(change.Evicted, block)
		}
	}
	return change
}

func (c *cacheWatch) notify(change CacheChange) {
	c.mutex.Lock()
	listeners := c.listeners
	c.mutex.Unlock()
	for _, listener := range listeners {
		listener(change)
	}
}

// spread tells the zone. Blocks beyond the bound are left out and marked as a gap.
func (c *cacheWatch) spread(change CacheChange) {
	delta := &fleetpb.CacheDelta{
		Replica: HashReplica(change.Replica), Stored: change.Stored, Evicted: change.Evicted,
		Cleared: change.Cleared, Gap: change.Gap,
	}
	if len(delta.Evicted) > maxCacheBlocks {
		delta.Evicted, delta.Gap = delta.Evicted[:maxCacheBlocks], true
	}
	if room := maxCacheBlocks - len(delta.Evicted); len(delta.Stored) > room {
		delta.Stored = delta.Stored[:room]
	}
	view := c.service.viewer.View()
	for _, to := range zonePeers(view, c.service.settings.Zone) {
		_ = c.service.caller.Send(to, methodCacheDelta, delta) // best effort: a loss only lowers the hit rate
	}
}

func zonePeers(view *membership.View, zone string) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, member := range view.Live() {
		if member.Zone == zone && member.ID != view.Self {
			peers = append(peers, member.PeerAddress)
		}
	}
	return peers
}

// received takes a change from another home node.
func (c *cacheWatch) received(delta *fleetpb.CacheDelta) {
	directory := c.service.Directory()
	for index := range directory.Replicas {
		if id := directory.Replicas[index].ID; HashReplica(id) == delta.GetReplica() {
			c.notify(CacheChange{
				Replica: id, Stored: delta.GetStored(), Evicted: delta.GetEvicted(),
				Cleared: delta.GetCleared(), Gap: delta.GetGap(),
			})
			return
		}
	}
}
