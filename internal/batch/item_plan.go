package batch

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// capacityTimeConstant is the time after which the weight of an observed number of slots has decayed to 1/e.
	capacityTimeConstant = 10 * time.Second
	// initialCapacitySpan is the span of observations that the initial assumption, all slots free, counts for.
	initialCapacitySpan = time.Second
	// minCapacity keeps planning possible while items have had no slot at all.
	minCapacity = 1.0
)

// slotCapacity is the recent mean number of slots available to batch items. It starts with all slots, so that few items are marked
// late before more is known. It is safe for concurrent use.
type slotCapacity struct {
	mutex    sync.Mutex
	observed bool
	mean     float64
	// firstAt is the time of the first observation, lastAt that of the last one.
	firstAt time.Time
	lastAt  time.Time
}

// slots returns the number of slots to plan with; infinite before the first observation.
func (c *slotCapacity) slots() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.observed {
		return math.Inf(1)
	}
	return c.mean
}

// observe records that items may use the given number of slots from now on; all is the number of existing slots.
func (c *slotCapacity) observe(slots, all int, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.observed {
		c.observed, c.mean, c.firstAt, c.lastAt = true, float64(all), now, now
		return
	}
	span := min(capacityTimeConstant, now.Sub(c.firstAt)+initialCapacitySpan)
	weight := min(1, now.Sub(c.lastAt).Seconds()/span.Seconds())
	c.mean += weight * (float64(slots) - c.mean)
	c.lastAt = now
}

// markLate marks the items that will probably not be done when they are due. It plans the items on the given slots in the order of
// their due times; if one would be late, it drops the last due of those planned so far, those not yet started first. Dropping the
// longest item would leave the most items in time (Moore, "An n job, one machine sequencing algorithm for minimizing the number of
// late jobs", 1968), but the value of an item is about proportional to its run time, and long items would be served worst (policy.md, round 21).
func markLate(items []candidate, now time.Time, slots float64) {
	slots = max(minCapacity, slots)
	order := make([]int, 0, len(items))
	for index := range items {
		items[index].late = false
		if !items[index].due.IsZero() {
			order = append(order, index)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return items[a].due.Compare(items[b].due) })
	planned := &lastDueFirst{items: items}
	work := 0.0
	for _, index := range order {
		item := &items[index]
		slack := item.due.Sub(now).Seconds()
		if item.remaining.Seconds() > slack {
			item.late = true
			continue
		}
		heap.Push(planned, index)
		work += item.remaining.Seconds()
		for work/slots > slack {
			dropped := heap.Pop(planned).(int)
			items[dropped].late = true
			work -= items[dropped].remaining.Seconds()
		}
	}
}

// lastDueFirst is a heap of indices of items: those not started before those started, and within each group the last due first.
type lastDueFirst struct {
	items   []candidate
	indices []int
}

// Len implements heap.Interface.
func (l *lastDueFirst) Len() int { return len(l.indices) }

// Less implements heap.Interface.
func (l *lastDueFirst) Less(i, j int) bool {
	a, b := &l.items[l.indices[i]], &l.items[l.indices[j]]
	if a.started != b.started {
		return !a.started
	}
	if order := a.due.Compare(b.due); order != 0 {
		return order > 0
	}
	return l.indices[i] > l.indices[j]
}

// Swap implements heap.Interface.
func (l *lastDueFirst) Swap(i, j int) { l.indices[i], l.indices[j] = l.indices[j], l.indices[i] }

// Push implements heap.Interface.
func (l *lastDueFirst) Push(index any) { l.indices = append(l.indices, index.(int)) }

// Pop implements heap.Interface.
func (l *lastDueFirst) Pop() any {
	last := l.indices[len(l.indices)-1]
	l.indices = l.indices[:len(l.indices)-1]
	return last
}
