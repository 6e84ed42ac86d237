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
		lent      bool
		level     float64
	}{
		{"just started, it may be lent already", lendingTime - 1, "a", nil, false, 0},
		{"it has collected from then on", lendingTime + 500*time.Millisecond, "a", nil, true, 5},
		{"renewed", 2 * time.Second, "a", nil, true, 0},
		{"its time is not over", 3*time.Second - 1, "b", nil, false, 0},
		{"its time is not over, another has ended", 3*time.Second - 1, "b", []string{"c"}, false, 0},
		{"its time is over", 3 * time.Second, "b", nil, true, 0},
		{"ceded", 3200 * time.Millisecond, "c", []string{"b"}, true, 0},
		{"the one that ceded comes back", 3300 * time.Millisecond, "b", nil, false, 0},
		{"it collects its part of the burst at most", time.Minute, "d", nil, true, 8},
	} {
		level, lent := own.lend("tenant", step.borrowing, step.ceded, lentLimit, 10, start.Add(step.at))
		if lent != step.lent || level != step.level {
			t.Errorf("%s: lent %t with %.2f, want %t with %.2f", step.name, lent, level, step.lent, step.level)
		}
	}
}

// TestPartBringsItsLimitOnce: whoever asks when, with whatever delay, and however often the lender starts anew: what borrowers may spend of one
// part in any span is its rate times the span and its burst.
func TestPartBringsItsLimitOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step  = 50 * time.Millisecond
			parts = 4
		)
		start := time.Now()
		now := start
		own := newLender(now)
		// A small burst, so that each request too many shows.
		limit := tenant.Limit{RequestsPerSecond: 100, Burst: 4}
		// spent holds what could be spent in each step, held until when each borrowing has the part, begun how often each began anew.
		var spent []float64
		held, begun := map[string]time.Time{}, map[int]int{}
		rate := partOf(limit, parts).RequestsPerSecond * step.Seconds()
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			amount := 0.0
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				own = newLender(now)
			case 1, 2, 3, 4:
				amount = borrowOnce(t, own, held, begun, limit, parts, now)
			}
			for name, until := range held {
				if now.Add(step).After(until) {
					delete(held, name)
					continue
				}
				amount += rate
			}
			spent = append(spent, amount)
			now = now.Add(step)
		}
		checkSpans(t, spent, step, partOf(limit, parts))
	})
}

// checkSpans fails where what could be spent in some span of steps is more than the rate times its length, and the burst.
func checkSpans(t *rapid.T, spent []float64, step time.Duration, limit tenant.Limit) {
	for first := range spent {
		sum := 0.0
		for last := first; last < len(spent); last++ {
			sum += spent[last]
			span := time.Duration(last-first+1) * step
			if allowed := limit.Burst + limit.RequestsPerSecond*span.Seconds(); sum > allowed+1e-6 {
				t.Fatalf("%.3f in %s, allowed are %.3f", sum, span, allowed)
			}
		}
	}
}

// borrowOnce has one of a few borrowers ask for the part, which may have ceded the one of another, and returns the level it got.
func borrowOnce(t *rapid.T, own *lender, held map[string]time.Time, begun map[int]int, limit tenant.Limit, parts int, now time.Time) float64 {
	who := rapid.IntRange(0, 2).Draw(t, "who")
	name := func(who int) string { return fmt.Sprint(who, "#", begun[who]) }
	var ceded []string
	if other := rapid.IntRange(0, 8).Draw(t, "cedes"); other < 3 && other != who {
		ceded = append(ceded, name(other))
		delete(held, name(other))
		begun[other]++
	}
	delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
	level, lent := own.lend("tenant", name(who), ceded, limit, parts, now)
	if lent {
		held[name(who)] = now.Add(lendingTime - delay)
	}
	return level
}
