package session

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

func nonRepeatableRequest(id string) Request {
	request := testRequest(id)
	request.NotRepeatable, request.IdempotencyKey, request.Fingerprint = true, "certificate-17", "f"
	return request
}

func TestResentNonRepeatableRequestGetsTheSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes, claimer := newFakeFleet(), newFakeClaimer()
		for attempt := range 3 {
			got, err := run(t, fakes, claimer, nonRepeatableRequest(fmt.Sprint("q", attempt)))
			if err != nil || got.text != answerText(0, answerTokens) || got.finish != "stop" {
				t.Fatal(got, err)
			}
		}
		if fakes.starts != 1 {
			t.Fatal(fakes.starts, "starts")
		}
		other := nonRepeatableRequest("q9")
		other.Fingerprint = "g"
		if _, err := run(t, fakes, claimer, other); outcome.As(err).Reason != outcome.ReasonConflict {
			t.Fatal(err)
		}
	})
}

func TestSecondCallerAwaitsTheFirstOnesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes, claimer := newFakeFleet(), newFakeClaimer()
		fakes.block = make(chan struct{})
		first, second := newTestRunner(fakes, claimer), newTestRunner(fakes, claimer)
		var got [2]received
		var errs [2]error
		ctx, disconnect := context.WithCancel(t.Context())
		go func() { errs[0] = first.Run(ctx, nonRepeatableRequest("q0"), got[0].sink) }()
		synctest.Wait()
		go func() { errs[1] = second.Run(t.Context(), nonRepeatableRequest("q1"), got[1].sink) }()
		synctest.Wait()
		// The first caller disconnects; its run continues.
		disconnect()
		synctest.Wait()
		close(fakes.block)
		synctest.Wait()
		if errs[1] != nil || got[1].text != answerText(0, answerTokens) || fakes.starts != 1 || len(fakes.cancels) > 0 {
			t.Fatal(errs, got, fakes.starts, fakes.cancels)
		}
	})
}

// TestOrphanedClaimIsReadFromTheEngine has a claim whose holder is gone: the answer is read
// from the engine if it has the run, and the outcome is indeterminate if it does not.
func TestOrphanedClaimIsReadFromTheEngine(t *testing.T) {
	for _, engineHasRun := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fakes, claimer := newFakeFleet(), newFakeClaimer()
			if _, err := claimer.Claim(t.Context(), "registry", "certificate-17", "f", "gone", "r2"); err != nil {
				t.Fatal(err)
			}
			fakes.runs["r2"] = map[string]bool{"gone": engineHasRun}
			for attempt := range 2 {
				got, err := run(t, fakes, claimer, nonRepeatableRequest(fmt.Sprint("q", attempt)))
				if engineHasRun && (err != nil || got.text != answerText(0, answerTokens)) || !engineHasRun && outcomeOf(err) != outcome.Indeterminate {
					t.Fatal(engineHasRun, got, err)
				}
			}
			if fakes.starts != 0 {
				t.Fatal("a claimed request was started again")
			}
		})
	}
}

func TestRefusedNonRepeatableRequestRunsWhenResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := fault{open: "refused"}
		fakes, claimer := newFakeFleet(refused, refused, refused, refused), newFakeClaimer()
		if _, err := run(t, fakes, claimer, nonRepeatableRequest("q0")); outcomeOf(err) != outcome.NotRun {
			t.Fatal(err)
		}
		got, err := run(t, fakes, claimer, nonRepeatableRequest("q1"))
		if err != nil || !got.complete() || fakes.starts != 1 {
			t.Fatal(got, err, fakes.starts)
		}
	})
}

func TestNonRepeatableRequestIsNotRunWithoutItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes, claimer := newFakeFleet(), newFakeClaimer()
		claimer.down = true
		started := time.Now()
		_, err := run(t, fakes, claimer, nonRepeatableRequest("q0"))
		if outcomeOf(err) != outcome.NotRun || fakes.starts != 0 {
			t.Fatal(err, fakes.starts, time.Since(started))
		}
	})
}

func TestLostNonRepeatableRunIsIndeterminateForAllCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes, claimer := newFakeFleet(fault{cut: 2}, fault{forget: true}), newFakeClaimer()
		for attempt := range 2 {
			if _, err := run(t, fakes, claimer, nonRepeatableRequest(fmt.Sprint("q", attempt))); outcomeOf(err) != outcome.Indeterminate {
				t.Fatal(err)
			}
		}
		if fakes.starts != 1 {
			t.Fatal(fakes.starts, "starts")
		}
	})
}
