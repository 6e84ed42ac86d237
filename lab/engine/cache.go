package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

const (
	eventStored  = "stored"
	eventEvicted = "evicted"
	eventCleared = "cleared"

	// minKeptEvents is the minimum number of recent cache events that are retained.
	minKeptEvents = 8192
	// eventsPerPage is the maximum number of events in one response.
	eventsPerPage = 1024
)

// prefixCache is a bounded LRU set of prefix blocks. It is guarded by the engine's
// mutex.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	// recency has the most recently used block in front.
	recency *list.List
	events  eventLog
}

func newPrefixCache(capacity int, events eventLog) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, recency: list.New(), events: events}
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	matched := 0
	for _, block := range blocks {
		if _, cached := c.blocks[block]; !cached {
			break
		}
		matched++
	}
	c.touch(blocks[:matched])
	return matched
}

// touch marks blocks as used, last block first, so that a prefix is evicted after its continuations.
func (c *prefixCache) touch(blocks []uint64) {
	for index := len(blocks) - 1; index >= 0; index-- {
		c.recency.MoveToFront(c.blocks[blocks[index]])
	}
}

// store adds blocks and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	if len(blocks) > c.capacity {
		blocks = blocks[:c.capacity]
	}
	var stored, evicted []uint64
	for _, block := range blocks {
		if _, cached := c.blocks[block]; !cached {
			c.blocks[block] = c.recency.PushFront(block)
			stored = append(stored, block)
		}
	}
	c.touch(blocks)
	for len(c.blocks) > c.capacity {
		last := c.recency.Back()
		block := c.recency.Remove(last).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	c.events.publish(eventStored, stored, now)
	c.events.publish(eventEvicted, evicted, now)
}

// eventLog holds the published cache events. A share loss of them is dropped, and the others become visible after lag.
type eventLog struct {
	lag      time.Duration
	loss     float64
	random   *rand.Rand
	sequence uint64
	entries  []loggedEvent
}

type loggedEvent struct {
	event     modelengine.CacheEvent
	visibleAt time.Time
}

func (l *eventLog) publish(kind string, blocks []uint64, now time.Time) {
	if len(blocks) == 0 && kind != eventCleared {
		return
	}
	l.sequence++
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	event := modelengine.CacheEvent{Sequence: l.sequence, Kind: kind, Blocks: blocks}
	l.entries = append(l.entries, loggedEvent{event: event, visibleAt: now.Add(l.lag)})
	if len(l.entries) > 2*minKeptEvents {
		l.entries = append([]loggedEvent(nil), l.entries[len(l.entries)-minKeptEvents:]...)
	}
}

// page returns the visible events with a sequence of at least from.
func (l *eventLog) page(from uint64, now time.Time) modelengine.CacheEvents {
	page := modelengine.CacheEvents{Events: []modelengine.CacheEvent{}, Next: max(from, 1)}
	for _, entry := range l.entries {
		if entry.visibleAt.After(now) || len(page.Events) == eventsPerPage {
			break
		}
		if entry.event.Sequence < from {
			continue
		}
		page.Events = append(page.Events, entry.event)
		page.Next = entry.event.Sequence + 1
	}
	return page
}
