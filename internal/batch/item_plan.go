package batch

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// capacityMemory is the time after which an observation of the slots that items had counts for 1/e.
	capacityMemory = 10 * time.Second
	// assumedSpan is how long the assumption that all slots are free counts, beside what is observed.
	assumedSpan = time.Second
	// leastCapacity keeps a plan possible while items had no slot at all.
	leastCapacity = 1.0
)

// slotCapacity is the mean number of slots that batch items had of late. It begins with all slots, so that little is given up before
// more is known. It is safe for concurrent use.
type slotCapacity struct {
	mutex sync.Mutex
	known bool
	mean  float64
	// since is when the first observation came, at the last one.
	since time.Time
	at    time.Time
}

// slots returns the number to plan with: without a bound while nothing is known.
func (c *slotCapacity) slots() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.known {
		return math.Inf(1)
	}
	return c.mean
}

// observe takes in that items may use so many of all slots from now on.
func (c *slotCapacity) observe(slots, all int, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.known {
		c.known, c.mean, c.since, c.at = true, float64(all), now, now
		return
	}
	span := min(capacityMemory, now.Sub(c.since)+assumedSpan)
	weight := min(1, now.Sub(c.at).Seconds()/span.Seconds())
	c.mean += weight * (float64(slots) - c.mean)
	c.at = now
}

// markLate marks the items that are not likely to be done when they are due: in that order, items are planned on the given slots; where
// one would be late, the last due of those planned so far is given up, those not yet begun first. Giving up the longest would leave the
// most in time (Moore, "An n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968), but an item is worth
// about what it takes, and the long ones would be served worst (policy.md, round 21).
func markLate(items []candidate, now time.Time, slots float64) {
	slots = max(leastCapacity, slots)
	order := make([]int, 0, len(items))
	for index := range items {
		items[index].late = false
		if !items[index].due.IsZero() {
			order = append(order, index)
		}
	}
	slices.SortFunc(order, func(one, other int) int { return items[one].due.Compare(items[other].due) })
	planned := &lastDueFirst{items: items}
	work := 0.0
	for _, index := range order {
		each := &items[index]
		slack := each.due.Sub(now).Seconds()
		if each.left.Seconds() > slack {
			each.late = true
			continue
		}
		heap.Push(planned, index)
		work += each.left.Seconds()
		for work/slots > slack {
			given := heap.Pop(planned).(int)
			items[given].late = true
			work -= items[given].left.Seconds()
		}
	}
}

// lastDueFirst is a heap of indices of items: those not begun before those begun, of these the last due first.
type lastDueFirst struct {
	items   []candidate
	indices []int
}

// Len implements heap.Interface.
func (l *lastDueFirst) Len() int { return len(l.indices) }

// Less implements heap.Interface.
func (l *lastDueFirst) Less(i, j int) bool {
	one, other := &l.items[l.indices[i]], &l.items[l.indices[j]]
	if one.begun != other.begun {
		return !one.begun
	}
	if order := one.due.Compare(other.due); order != 0 {
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
