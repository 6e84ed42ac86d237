package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replayedLoad is a load whose decisions are replayed without input and output.
type replayedLoad struct {
	slots int
	// online are the slots that callers' requests take in the mean; they go between low and high of it by turns.
	online          float64
	low, high       float64
	lowFor, highFor time.Duration
	// jobs come at intervals, each of so many items that need so much time and are due so long after.
	every   time.Duration
	items   int
	needs   time.Duration
	due     time.Duration
	lasting time.Duration
}

// tooMuch is three times the work that the replicas can do, beside callers that come in steps.
var tooMuch = replayedLoad{
	slots: 80, online: 10, low: 0.38, high: 1.85, lowFor: 3 * time.Second, highFor: 2200 * time.Millisecond,
	every: 125 * time.Millisecond, items: 5, needs: 4900 * time.Millisecond, due: 18 * time.Second, lasting: 60 * time.Second,
}

// replayedItem is an item of a replay: what the owner knows of it, and how much of it is made.
type replayedItem struct {
	candidate
	made     time.Duration
	leaseEnd time.Time
	runs     int
}

// replayed is what came of a load.
type replayed struct {
	inTime, late, waiting, cut int
	// onlineHeldUp counts the steps at which callers' requests and items together were more than the slots.
	onlineHeldUp int
}

// replay has the owner's decisions made at each interval of the dispatcher: which items can be in time, which begin, which are cut off.
func replay(load replayedLoad) replayed {
	random := rand.New(rand.NewPCG(1, 2))
	began := time.Unix(1000, 0)
	var items []replayedItem
	var result replayed
	var capacity slotCapacity
	var term leaseSizer
	nextJob := began
	for now := began; now.Before(began.Add(load.lasting)); now = now.Add(dispatchInterval) {
		for ; !nextJob.After(now); nextJob = nextJob.Add(load.every) {
			for number := range load.items {
				needs := time.Duration(float64(load.needs) * (0.6 + 0.8*random.Float64()))
				items = append(items, replayedItem{candidate: candidate{
					key: itemKey{job: fmt.Sprint(nextJob.UnixNano()), number: number}, acceptedAt: nextJob.UnixMilli(), due: nextJob.Add(load.due), remaining: needs,
				}})
			}
		}
		online := load.onlineAt(now.Sub(began))
		begin := int(float64(load.slots)*(1-startFreeShare) - float64(online)*startOnlineGrowth)
		keep := max(begin, int(float64(load.slots)*(1-keepFreeShare)-float64(online)*keepOnlineGrowth))
		capacity.observe(begin, load.slots, now)
		result.step(items, now, begin, keep, &term, float64(load.slots), online, capacity.slots())
		items = slices.DeleteFunc(items, func(item replayedItem) bool {
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

func (l replayedLoad) onlineAt(since time.Duration) int {
	if since%(l.lowFor+l.highFor) < l.lowFor {
		return int(l.online * l.low)
	}
	return int(l.online * l.high)
}

// step makes the decisions of one interval.
func (r *replayed) step(items []replayedItem, now time.Time, begin, keep int, term *leaseSizer, slots float64, online int, capacity float64) {
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
	order := make([]*replayedItem, len(items))
	for index := range items {
		order[index] = &items[index]
	}
	slices.SortStableFunc(order, func(a, b *replayedItem) int { return compareCandidates(a.candidate, b.candidate) })
	for place := len(order) - 1; place >= 0 && running > keep; place-- {
		if order[place].running {
			order[place].running = false
			running--
			r.cut++
		}
	}
	for _, item := range order {
		if item.running {
			continue
		}
		if running >= begin && !item.late {
			running -= r.replaceLate(order, now)
		}
		if running >= begin {
			break
		}
		item.running, item.started = true, true
		item.runs++
		item.leaseEnd = now.Add(term.length(item.remaining, float64(running+online)/slots))
		running++
	}
	if float64(running+online) > slots {
		r.onlineHeldUp++
	}
	for _, item := range order {
		if !item.running {
			continue
		}
		item.remaining -= dispatchInterval
		item.made += dispatchInterval
		item.textSize = int(item.made.Milliseconds())
		if item.remaining > 0 && !now.Before(item.leaseEnd.Add(-leaseMargin)) {
			r.cut++
			item.leaseEnd = now.Add(term.length(item.remaining, float64(running+online)/slots))
		}
	}
}

// replaceLate cuts off a run that will be late whatever it gets, for one that can be in time; it returns how many.
func (r *replayed) replaceLate(order []*replayedItem, now time.Time) int {
	for place := len(order) - 1; place >= 0 && order[place].late; place-- {
		if order[place].running && order[place].certainlyLate(now) {
			order[place].running = false
			r.cut++
			return 1
		}
	}
	return 0
}

// TestFarTooMuchWork: with three times the work that can be done, what is done is done in time, most of what could be is, few runs are cut off,
// and callers' requests find room.
func TestFarTooMuchWork(t *testing.T) {
	result := replay(tooMuch)
	t.Logf("%+v", result)
	free := float64(tooMuch.slots)*(1-startFreeShare) - tooMuch.online*startOnlineGrowth
	possible := free * tooMuch.lasting.Seconds() / tooMuch.needs.Seconds()
	if share := float64(result.inTime) / possible; share < 0.8 {
		t.Errorf("%.2f of what could be done was done in time", share)
	}
	if cuts := float64(result.cut) / float64(result.inTime+result.late); cuts > 1 {
		t.Errorf("%.2f runs were cut off for each result, want 1 at most", cuts)
	}
	if result.onlineHeldUp > 0 {
		t.Errorf("callers' requests found no room at %d steps", result.onlineHeldUp)
	}
}

// TestLittleWork: with free replicas each item is one run.
func TestLittleWork(t *testing.T) {
	load := tooMuch
	load.slots, load.every = 800, 200*time.Millisecond
	result := replay(load)
	if result.cut > 0 || result.late > 0 {
		t.Errorf("%d runs were cut off and %d of %d items late with free replicas", result.cut, result.late, result.inTime+result.late)
	}
}
