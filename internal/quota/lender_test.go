package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/tenant"
)

var leasedLimit = tenant.Limit{RequestsPerSecond: 100, Burst: 80}

// TestPartIsLentOnce: a part is leased to the next holder only once the previous lease has expired or its holder's term has ended.
func TestPartIsLentOnce(t *testing.T) {
	start := time.Now()
	lender := newLender(start)
	for _, step := range []struct {
		name         string
		at           time.Duration
		holder       string
		endedHolders []string
		want         lease
	}{
		{"lender just started, an earlier lease may be in force", 10 * time.Millisecond, "a", nil, lease{share: startupShare}},
		{"leased to another holder", 500 * time.Millisecond, "b", nil, lease{availableIn: 510 * time.Millisecond}},
		{"renewed, an earlier lease may still be in force", 900 * time.Millisecond, "a", nil, lease{share: startupShare}},
		{"renewed", 1500 * time.Millisecond, "a", nil, lease{share: 1}},
		{"leased to another holder, the term of a third has ended", 2499 * time.Millisecond, "b", []string{"c"}, lease{availableIn: time.Millisecond}},
		{"previous lease expired", 2500 * time.Millisecond, "b", nil, lease{share: 1}},
		{"previous holder's term ended", 2700 * time.Millisecond, "c", []string{"b"}, lease{share: 1}},
		{"ended holder asks again", 2800 * time.Millisecond, "b", nil, lease{availableIn: 900 * time.Millisecond}},
		{"level accrues from the expiry on", 4200 * time.Millisecond, "d", nil, lease{share: 1, level: 5}},
		{"level is capped at the part of the burst", time.Minute, "e", nil, lease{share: 1, level: 8}},
	} {
		if got := lender.lend("tenant", step.holder, step.endedHolders, leasedLimit, 10, start.Add(step.at)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
	}
}

// heldLease is a lease as its holder in the test knows it.
type heldLease struct {
	expiresAt time.Time
	share     float64
}

// TestLeasesOfAPartStayWithinItsLimit: in any span, the borrowers of one part may spend at most its rate times the span, plus its burst, plus
// startupShare of the rate for leaseDuration with each restart of the lender. This holds for any order of requests, any delay of answers and
// any number of restarts.
func TestLeasesOfAPartStayWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step  = 50 * time.Millisecond
			parts = 4
		)
		now := time.Now()
		lender := newLender(now)
		// The burst is small, so that each excess request is detected.
		limit := tenant.Limit{RequestsPerSecond: 100, Burst: 4}
		// spendable is the number of requests that could be spent in each step.
		var spendable []float64
		// restarted is whether the lender restarted in each step.
		var restarted []bool
		// heldLeases are the leases in force by holder; terms counts the ended terms of each borrower.
		heldLeases, terms := map[string]heldLease{}, map[int]int{}
		rate := equalPart(limit, parts).RequestsPerSecond * step.Seconds()
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			amount, restarting := 0.0, false
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				lender, restarting = newLender(now), true
			case 1, 2, 3, 4:
				amount = requestLease(t, lender, heldLeases, terms, limit, parts, now)
			}
			for holder, held := range heldLeases {
				if now.Add(step).After(held.expiresAt) {
					delete(heldLeases, holder)
					continue
				}
				amount += rate * held.share
			}
			spendable, restarted = append(spendable, amount), append(restarted, restarting)
			now = now.Add(step)
		}
		checkSpans(t, spendable, restarted, step, equalPart(limit, parts))
	})
}

// checkSpans fails if more could be spent in any span of steps than the rate times its length, the burst, and the amount that lender restarts
// allow.
func checkSpans(t *rapid.T, spendable []float64, restarted []bool, step time.Duration, limit tenant.Limit) {
	perRestart := startupShare * limit.RequestsPerSecond * leaseDuration.Seconds()
	for first := range spendable {
		sum, restarts := 0.0, 0.0
		for earlier := max(0, first-int(leaseDuration/step)); earlier < first; earlier++ {
			if restarted[earlier] {
				restarts++
			}
		}
		for last := first; last < len(spendable); last++ {
			sum += spendable[last]
			if restarted[last] {
				restarts++
			}
			span := time.Duration(last-first+1) * step
			if allowed := limit.Burst + limit.RequestsPerSecond*span.Seconds() + restarts*perRestart; sum > allowed+1e-6 {
				t.Fatalf("%.3f requests in %s, want %.3f at most", sum, span, allowed)
			}
		}
	}
}

// requestLease makes one of three borrowers ask for the part, possibly after the term of another has ended, and returns the level it got.
func requestLease(
	t *rapid.T, edgeLender *lender, heldLeases map[string]heldLease, terms map[int]int, limit tenant.Limit, parts int, now time.Time,
) float64 {
	borrower := rapid.IntRange(0, 2).Draw(t, "who")
	holderOf := func(borrower int) string { return fmt.Sprint(borrower, "#", terms[borrower]) }
	var endedHolders []string
	if other := rapid.IntRange(0, 8).Draw(t, "cedes"); other < 3 && other != borrower {
		endedHolders = append(endedHolders, holderOf(other))
		delete(heldLeases, holderOf(other))
		terms[other]++
	}
	delay := time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond
	granted := edgeLender.lend("tenant", holderOf(borrower), endedHolders, limit, parts, now)
	if granted.share > 0 {
		heldLeases[holderOf(borrower)] = heldLease{expiresAt: now.Add(leaseDuration - delay), share: granted.share}
	}
	return granted.level
}
