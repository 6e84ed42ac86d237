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

// maxCacheBlocks limits the block hashes in one message to the zone. Leaving out evictions marks the message as a gap.
const maxCacheBlocks = 256

// CacheChange is the combined effect of cache events of one replica.
type CacheChange struct {
	Replica string
	// Stored and Evicted are block hashes.
	Stored  []uint64
	Evicted []uint64
	// Cleared is true if the cache was emptied before the other changes.
	Cleared bool
	// Gap is true if events were lost.
	Gap bool
}

// cacheWatch follows the cache events of the replicas that this node is home to and sends them to the zone.
type cacheWatch struct {
	service *Service
	// mutex guards nextSequence and listeners.
	mutex sync.Mutex
	// nextSequence is the sequence of the next cache event to read, by replica.
	nextSequence map[string]uint64
	listeners    []func(CacheChange)
}

func newCacheWatch(service *Service) *cacheWatch {
	return &cacheWatch{service: service, nextSequence: make(map[string]uint64)}
}

// SubscribeCache calls notify with changes of replicas' caches, from any goroutine,
// for the life of the service. notify must not block.
func (s *Service) SubscribeCache(notify func(CacheChange)) {
	s.cache.mutex.Lock()
	defer s.cache.mutex.Unlock()
	s.cache.listeners = append(s.cache.listeners, notify)
}

// poll reads the new cache events of one engine. Errors are ignored: the load poll detects unreachable engines.
func (c *cacheWatch) poll(ctx context.Context, endpoint engine.Endpoint) {
	callContext, cancel := context.WithTimeout(ctx, c.service.options.PollTimeout)
	defer cancel()
	c.mutex.Lock()
	from := c.nextSequence[endpoint.Replica]
	c.mutex.Unlock()
	page, err := c.service.engines.CacheEvents(callContext, endpoint, from)
	if err != nil || len(page.Events) == 0 {
		return
	}
	c.mutex.Lock()
	c.nextSequence[endpoint.Replica] = page.Next
	c.mutex.Unlock()
	change := foldEvents(endpoint.Replica, from, page)
	c.notify(change)
	c.sendToZone(change)
}

// engineRestarted drops the cache state of an engine that has restarted; its event sequence starts again.
func (c *cacheWatch) engineRestarted(replica string) {
	c.mutex.Lock()
	delete(c.nextSequence, replica)
	c.mutex.Unlock()
	change := CacheChange{Replica: replica, Cleared: true}
	c.notify(change)
	c.sendToZone(change)
}

// foldEvents folds a page of events into one change.
func foldEvents(replica string, from uint64, page engine.CacheEvents) CacheChange {
	change := CacheChange{Replica: replica}
	expected := from
	storedByBlock := make(map[uint64]bool)
	for _, event := range page.Events {
		if expected != 0 && event.Sequence != expected {
			change.Gap = true
		}
		expected = event.Sequence + 1
		switch event.Kind {
		case cacheStored, cacheEvicted:
			for _, block := range event.Blocks {
				storedByBlock[block] = event.Kind == cacheStored
			}
		case cacheCleared:
			change.Cleared = true
			clear(storedByBlock)
		}
	}
	for block, stored := range storedByBlock {
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

// sendToZone sends a change to the other nodes of the zone. Blocks beyond maxCacheBlocks are left out, evictions last, since a message
// without some of them has to be marked as a gap.
func (c *cacheWatch) sendToZone(change CacheChange) {
	delta := &fleetpb.CacheDelta{
		Replica: HashReplica(change.Replica), Stored: change.Stored, Evicted: change.Evicted,
		Cleared: change.Cleared, Gap: change.Gap,
	}
	if len(delta.Evicted) > maxCacheBlocks {
		delta.Evicted, delta.Gap = delta.Evicted[:maxCacheBlocks], true
	}
	if remaining := maxCacheBlocks - len(delta.Evicted); len(delta.Stored) > remaining {
		delta.Stored = delta.Stored[:remaining]
	}
	view := c.service.viewer.View()
	for _, to := range zonePeers(view, c.service.settings.Zone) {
		_ = c.service.caller.Send(to, methodCacheDelta, delta) // best effort: a loss only lowers the cache hit rate
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

// onDelta passes a cache change received from another node to the listeners.
func (c *cacheWatch) onDelta(delta *fleetpb.CacheDelta) {
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
