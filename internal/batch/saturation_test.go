package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulatedLoad is a load for which the owner's decisions are simulated without I/O.
type simulatedLoad struct {
	slots int
	// online is the mean number of slots that callers' requests take; it alternates between the multiples low and high of that, for
	// lowFor and highFor.
	online          float64
	low, high       float64
	lowFor, highFor time.Duration
	// A job arrives per jobInterval, with items that each need about runTime and are due dueAfter later.
	jobInterval time.Duration
	items       int
	runTime     time.Duration
	dueAfter    time.Duration
	duration    time.Duration
}

// overload is three times the work that the replicas can do, with callers' requests that change in steps.
var overload = simulatedLoad{
	slots: 80, online: 10, low: 0.38, high: 1.85, lowFor: 3 * time.Second, highFor: 2200 * time.Millisecond,
	jobInterval: 125 * time.Millisecond, items: 5, runTime: 4900 * time.Millisecond, dueAfter: 18 * time.Second, duration: 60 * time.Second,
}

// simulatedItem is an item of a simulation: what the owner knows of it, and how long it has run.
type simulatedItem struct {
	candidate
	ran      time.Duration
	leaseEnd time.Time
	runs     int
}

// simulationResult counts the outcomes of a simulated load.
type simulationResult struct {
	inTime, late, waiting, cutOff int
	// onlineBlocked counts the steps at which callers' requests and items together exceeded the slots.
	onlineBlocked int
}

// simulate makes the owner's decisions at each interval of the dispatcher: which items can be in time, which start, which are cut
// off.
func simulate(load simulatedLoad) simulationResult {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	var items []simulatedItem
	var result simulationResult
	var capacity slotCapacity
	var sizer leaseSizer
	nextJob := start
	for now := start; now.Before(start.Add(load.duration)); now = now.Add(dispatchInterval) {
		for ; !nextJob.After(now); nextJob = nextJob.Add(load.jobInterval) {
			for number := range load.items {
				runTime := time.Duration(float64(load.runTime) * (0.6 + 0.8*random.Float64()))
				items = append(items, simulatedItem{candidate: candidate{
					key: itemKey{job: fmt.Sprint(nextJob.UnixNano()), number: number}, acceptedAt: nextJob.UnixMilli(),
					due: nextJob.Add(load.dueAfter), remaining: runTime,
				}})
			}
		}
		online := load.onlineAt(now.Sub(start))
		startLimit := int(float64(load.slots)*(1-startFreeShare) - float64(online)*startOnlineGrowth)
		keepLimit := max(startLimit, int(float64(load.slots)*(1-keepFreeShare)-float64(online)*keepOnlineGrowth))
		capacity.observe(startLimit, load.slots, now)
		result.step(items, now, startLimit, keepLimit, &sizer, float64(load.slots), online, capacity.slots())
		items = slices.DeleteFunc(items, func(item simulatedItem) bool {
			if item.remaining > 0 {
				return false
			}
			if now.After(item.due) {
				result.late++
			} else {
				result.inTime++
			}
			return true
		})
	}
	result.waiting = len(items)
	return result
}

func (l simulatedLoad) onlineAt(since time.Duration) int {
	if since%(l.lowFor+l.highFor) < l.lowFor {
		return int(l.online * l.low)
	}
	return int(l.online * l.high)
}

// step makes the decisions of one interval.
func (r *simulationResult) step(
	items []simulatedItem, now time.Time, startLimit, keepLimit int, sizer *leaseSizer, slots float64, online int, capacity float64,
) {
	candidates := make([]candidate, len(items))
	running := 0
	for index := range items {
		candidates[index] = items[index].candidate
		if items[index].running {
			running++
		}
	}
	markLate(candidates, now, capacity)
	for index := range items {
		items[index].late = candidates[index].late
	}
	order := make([]*simulatedItem, len(items))
	for index := range items {
		order[index] = &items[index]
	}
	slices.SortStableFunc(order, func(a, b *simulatedItem) int { return compareCandidates(a.candidate, b.candidate) })
	for last := len(order) - 1; last >= 0 && running > keepLimit; last-- {
		if order[last].running {
			order[last].running = false
			running--
			r.cutOff++
		}
	}
	for _, item := range order {
		if item.running {
			continue
		}
		if running >= startLimit && !item.late {
			running -= r.preemptLateRun(order, now)
		}
		if running >= startLimit {
			break
		}
		item.running, item.started = true, true
		item.runs++
		item.leaseEnd = now.Add(sizer.length(item.remaining, float64(running+online)/slots))
		running++
	}
	if float64(running+online) > slots {
		r.onlineBlocked++
	}
	for _, item := range order {
		if !item.running {
			continue
		}
		item.remaining -= dispatchInterval
		item.ran += dispatchInterval
		item.textSize = int(item.ran.Milliseconds())
		if item.remaining > 0 && !now.Before(item.leaseEnd.Add(-leaseMargin)) {
			r.cutOff++
			item.leaseEnd = now.Add(sizer.length(item.remaining, float64(running+online)/slots))
		}
	}
}

// preemptLateRun cuts off a run that is certain to be late, in favour of an item that can be in time. It returns the number of runs
// cut off, 0 or 1.
func (r *simulationResult) preemptLateRun(order []*simulatedItem, now time.Time) int {
	for place := len(order) - 1; place >= 0 && order[place].late; place-- {
		if order[place].running && order[place].certainlyLate(now) {
			order[place].running = false
			r.cutOff++
			return 1
		}
	}
	return 0
}

// TestOverload checks that, with three times the work that can be done, most of what can be done is done, and in time, few
// runs are cut off, and callers' requests find room.
func TestOverload(t *testing.T) {
	result := simulate(overload)
	t.Logf("%+v", result)
	free := float64(overload.slots)*(1-startFreeShare) - overload.online*startOnlineGrowth
	possible := free * overload.duration.Seconds() / overload.runTime.Seconds()
	if share := float64(result.inTime) / possible; share < 0.8 {
		t.Errorf("%.2f of what could be done was done in time", share)
	}
	if cuts := float64(result.cutOff) / float64(result.inTime+result.late); cuts > 1 {
		t.Errorf("%.2f runs were cut off for each result, want 1 at most", cuts)
	}
	if result.onlineBlocked > 0 {
		t.Errorf("callers' requests found no room at %d steps", result.onlineBlocked)
	}
}

// TestLittleWork checks that each item is one run while replicas are free.
func TestLittleWork(t *testing.T) {
	load := overload
	load.slots, load.jobInterval = 800, 200*time.Millisecond
	result := simulate(load)
	if result.cutOff > 0 || result.late > 0 {
		t.Errorf("%d runs were cut off and %d of %d items late with free replicas", result.cutOff, result.late, result.inTime+result.late)
	}
}
