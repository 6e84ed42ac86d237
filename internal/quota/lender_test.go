package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/tenant"
)

var lentLimit = tenant.Limit{RequestsPerSecond: 100, Burst: 80}

// TestPartIsLentOnce: a part is lent to the next borrowing only once the one before is over or ceded.
func TestPartIsLentOnce(t *testing.T) {
	start := time.Now()
	own := newLender(start)
	for _, step := range []struct {
		name      string
		at        time.Duration
		borrowing string
		ceded     []string
		want      lending
	}{
		{"just started, it may be lent already", 10 * time.Millisecond, "a", nil, lending{share: startShare}},
		{"its time is not over", 500 * time.Millisecond, "b", nil, lending{freeIn: 510 * time.Millisecond}},
		{"renewed, still it may be lent already", 900 * time.Millisecond, "a", nil, lending{share: startShare}},
		{"renewed", 1500 * time.Millisecond, "a", nil, lending{share: 1}},
		{"its time is not over, another has ended", 2499 * time.Millisecond, "b", []string{"c"}, lending{freeIn: time.Millisecond}},
		{"its time is over", 2500 * time.Millisecond, "b", nil, lending{share: 1}},
		{"ceded", 2700 * time.Millisecond, "c", []string{"b"}, lending{share: 1}},
		{"the one that ceded comes back", 2800 * time.Millisecond, "b", nil, lending{freeIn: 900 * time.Millisecond}},
		{"it has collected from the end of its time on", 4200 * time.Millisecond, "d", nil, lending{share: 1, level: 5}},
		{"it collects its part of the burst at most", time.Minute, "e", nil, lending{share: 1, level: 8}},
	} {
		if got := own.lend("tenant", step.borrowing, step.ceded, lentLimit, 10, start.Add(step.at)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
	}
}

// borrowedOnce is what a borrowing of the test may spend.
type borrowedOnce struct {
	until time.Time
	share float64
}

// TestPartBringsItsLimitOnce: whoever asks when, with whatever delay, and however often the lender starts anew: what borrowers may spend of one
// part in any span is its rate times the span and its burst, and startShare of the rate for lendingTime with each start.
func TestPartBringsItsLimitOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step  = 50 * time.Millisecond
			parts = 4
		)
		now := time.Now()
		own := newLender(now)
		// A small burst, so that each request too many shows.
		limit := tenant.Limit{RequestsPerSecond: 100, Burst: 4}
		// spent holds what could be spent in each step, started whether the lender started in it; held is what each borrowing has of the
		// part, begun how often each began anew.
		var spent []float64
		var started []bool
		held, begun := map[string]borrowedOnce{}, map[int]int{}
		rate := partOf(limit, parts).RequestsPerSecond * step.Seconds()
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			amount, restarts := 0.0, false
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				own, restarts = newLender(now), true
			case 1, 2, 3, 4:
				amount = borrowOnce(t, own, held, begun, limit, parts, now)
			}
			for name, each := range held {
				if now.Add(step).After(each.until) {
					delete(held, name)
					continue
				}
				amount += rate * each.share
			}
			spent, started = append(spent, amount), append(started, restarts)
			now = now.Add(step)
		}
		checkSpans(t, spent, started, step, partOf(limit, parts))
	})
}

// checkSpans fails where what could be spent in some span of steps is more than the rate times its length, the burst, and what starts bring.
func checkSpans(t *rapid.T, spent []float64, started []bool, step time.Duration, limit tenant.Limit) {
	perStart := startShare * limit.RequestsPerSecond * lendingTime.Seconds()
	for first := range spent {
		sum, starts := 0.0, 0.0
		for before := max(0, first-int(lendingTime/step)); before < first; before++ {
			if started[before] {
				starts++
			}
		}
		for last := first; last < len(spent); last++ {
			sum += spent[last]
			if started[last] {
				starts++
			}
			span := time.Duration(last-first+1) * step
			if allowed := limit.Burst + limit.RequestsPerSecond*span.Seconds() + starts*perStart; sum > allowed+1e-6 {
				t.Fatalf("%.3f in %s, allowed are %.3f", sum, span, allowed)
			}
		}
	}
}

// borrowOnce has one of a few borrowers ask for the part, which may have ceded the one of another, and returns the level it got.
func borrowOnce(t *rapid.T, own *lender, held map[string]borrowedOnce, begun map[int]int, limit tenant.Limit, parts int, now time.Time) float64 {
	who := rapid.IntRange(0, 2).Draw(t, "who")
	name := func(who int) string { return fmt.Sprint(who, "#", begun[who]) }
	var ceded []string
	if other := rapid.IntRange(0, 8).Draw(t, "cedes"); other < 3 && other != who {
		ceded = append(ceded, name(other))
		delete(held, name(other))
		begun[other]++
	}
	delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
	given := own.lend("tenant", name(who), ceded, limit, parts, now)
	if given.share > 0 {
		held[name(who)] = borrowedOnce{until: now.Add(lendingTime - delay), share: given.share}
	}
	return given.level
}
