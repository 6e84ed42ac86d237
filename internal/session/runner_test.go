package session

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRunUnderFaults draws faults for each call to an engine and checks that the caller
// gets either the whole answer, once and in order, or a correct outcome.
func TestRunUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fakes := newFakeFleet(rapid.SliceOfN(rapid.Custom(drawFault), 0, 12).Draw(rt, "faults")...)
		claimer := newFakeClaimer()
		claimer.loseAnswers = rapid.IntRange(0, 2).Draw(rt, "lostClaims")
		nonRepeatable := rapid.Bool().Draw(rt, "marked")
		reconnects := !nonRepeatable && rapid.Bool().Draw(rt, "reconnects")
		var got received
		if reconnects {
			got.next = 2 * rapid.IntRange(0, answerTokens/2-1).Draw(rt, "offset")
			got.text = answerText(0, got.next)
			fakes.runs["r2"] = map[string]bool{"q1": rapid.Bool().Draw(rt, "runIsThere")}
		}
		sendsText := rapid.Bool().Draw(rt, "sendsText")
		var err error
		synctest.Test(t, func(t *testing.T) {
			request := testRequest("q1")
			if request.NotRepeatable = nonRepeatable; nonRepeatable {
				request.IdempotencyKey = "k"
			}
			if reconnects {
				request.Replica, request.Offset = "r2", got.next
			}
			if reconnects && sendsText {
				request.Prior = got.text
			}
			runner := newTestRunner(fakes, claimer)
			err = runner.Run(t.Context(), request, got.sink)
			runner.Wait()
		})
		if err == nil && !got.complete() {
			rt.Fatalf("not the whole answer: %+v", got)
		}
		if got.outOfOrder || fakes.badResume {
			rt.Fatalf("tokens out of order or a wrong resume: %+v", got)
		}
		if outcomeOf(err) == outcome.NotRun && (fakes.starts > 0 || reconnects) {
			rt.Fatalf("outcome not_run after %d starts, reconnected %t: %v", fakes.starts, reconnects, err)
		}
		if nonRepeatable && fakes.starts > 1 {
			rt.Fatalf("a non-repeatable request was started %d times", fakes.starts)
		}
	})
}

func drawFault(t *rapid.T) fault {
	return fault{
		open:       rapid.SampledFrom([]string{"", "", "", "not_sent", "refused", "lost"}).Draw(t, "open"),
		afterStart: rapid.Bool().Draw(t, "afterStart"),
		cut:        rapid.IntRange(0, 4).Draw(t, "cut"),
		crossed:    rapid.Bool().Draw(t, "crossed"),
		cancelled:  rapid.Bool().Draw(t, "cancelled"),
		forget:     rapid.Bool().Draw(t, "forget"),
	}
}

func run(t *testing.T, fakes *fakeFleet, claimer Claimer, request Request) (received, error) {
	t.Helper()
	runner := newTestRunner(fakes, claimer)
	var got received
	err := runner.Run(t.Context(), request, got.sink)
	runner.Wait()
	return got, err
}

func TestStreamIsAttachedToAgainThenResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := newFakeFleet(fault{cut: 2}, fault{cut: 1}, fault{forget: true}, fault{cut: 1}, fault{open: "not_sent"})
		got, err := run(t, fakes, newFakeClaimer(), testRequest("q1"))
		if err != nil || !got.complete() || fakes.badResume {
			t.Fatal(got, err, fakes.badResume)
		}
		// r1's stream broke twice and r1 lost the run; r2's broke and r2 became unreachable; r3
		// completed it.
		if fakes.starts != 3 || !contains(fakes.cancels, "r2 q1") {
			t.Fatal(fakes.starts, fakes.cancels)
		}
	})
}

func TestRefusedEverywhereIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := newFakeFleet(fault{open: "refused"}, fault{open: "not_sent"}, fault{open: "refused"}, fault{open: "refused"})
		_, err := run(t, fakes, newFakeClaimer(), testRequest("q1"))
		failure := outcome.As(err)
		if failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonOverloaded || failure.RetryAfter == 0 {
			t.Fatal(err)
		}
	})
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := newFakeFleet()
		runner := newTestRunner(fakes, newFakeClaimer())
		for range 100 {
			fakes.faults = append(fakes.faults, fault{open: "refused"})
		}
		for len(fakes.faults) > 0 {
			var got received
			_ = runner.Run(t.Context(), testRequest("q"), got.sink)
		}
		// The initial 20 retries and 10 percent of the requests are used up.
		var got received
		fakes.faults = []fault{{open: "refused"}}
		if err := runner.Run(t.Context(), testRequest("q"), got.sink); outcomeOf(err) != outcome.NotRun || fakes.starts != 0 {
			t.Fatal("the budget is spent, yet a retry was made", err)
		}
	})
}

func TestInvalidIsNotRetried(t *testing.T) {
	fakes := newFakeFleet(fault{open: "invalid"})
	_, err := run(t, fakes, newFakeClaimer(), testRequest("q1"))
	if failure := outcome.As(err); failure.Outcome != outcome.Failed || failure.Reason != outcome.ReasonInvalid || fakes.starts != 0 {
		t.Fatal(err)
	}
}

func TestReconnectGoesOnBehindItsOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			gone   bool
			prior  string
			want   outcome.Outcome
			starts int
		}{
			"attached":                   {want: outcome.Completed, starts: 0},
			"run gone, text sent":        {gone: true, prior: answerText(0, 4), want: outcome.Completed, starts: 1},
			"run gone, text not at hand": {gone: true, want: outcome.Indeterminate},
		} {
			fakes := newFakeFleet()
			fakes.runs["r2"] = map[string]bool{"q1": !c.gone}
			request := testRequest("q1")
			request.Replica, request.Offset, request.Prior = "r2", 4, c.prior
			got := received{next: 4, text: answerText(0, 4)}
			runner := newTestRunner(fakes, newFakeClaimer())
			err := runner.Run(t.Context(), request, got.sink)
			runner.Wait()
			if outcomeOf(err) != c.want || fakes.starts != c.starts || fakes.badResume || err == nil && !got.complete() {
				t.Errorf("%s: %v, %d starts, %+v", name, err, fakes.starts, got)
			}
		}
	})
}

func TestCallerThatGoesAwayCancelsTheRun(t *testing.T) {
	for _, keep := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fakes := newFakeFleet()
			fakes.block = make(chan struct{})
			runner := newTestRunner(fakes, newFakeClaimer())
			ctx, cancel := context.WithCancel(t.Context())
			request := testRequest("q1")
			request.KeepRun = keep
			ended := make(chan error)
			go func() { ended <- runner.Run(ctx, request, (&received{}).sink) }()
			synctest.Wait()
			cancel()
			err := <-ended
			runner.Wait()
			if outcomeOf(err) != outcome.Cancelled || len(fakes.cancels) > 0 == keep {
				t.Fatal(keep, err, fakes.cancels)
			}
		})
	}
}

func TestDeadlineIsIndeterminateOnceStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := newFakeFleet()
		fakes.block = make(chan struct{})
		_, err := run(t, fakes, newFakeClaimer(), testRequest("q1"))
		if failure := outcome.As(err); failure.Outcome != outcome.Indeterminate || failure.Reason != outcome.ReasonDeadline {
			t.Fatal(err)
		}
		if !contains(fakes.cancels, "r1 q1") {
			t.Fatal("the run was not cancelled")
		}
	})
}

func TestDeadlineWhileRefusedIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request := testRequest("q1")
		request.Deadline = time.Now().Add(time.Millisecond)
		_, err := run(t, newFakeFleet(fault{open: "refused"}, fault{open: "refused"}), newFakeClaimer(), request)
		if failure := outcome.As(err); failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonDeadline {
			t.Fatal(err)
		}
	})
}

func TestSinkErrorEndsTheRequest(t *testing.T) {
	fakes := newFakeFleet()
	runner := newTestRunner(fakes, newFakeClaimer())
	err := runner.Run(t.Context(), testRequest("q1"), func(Chunk) error { return errors.New("closed") })
	runner.Wait()
	if outcomeOf(err) != outcome.Cancelled || !contains(fakes.cancels, "r1 q1") {
		t.Fatal(err, fakes.cancels)
	}
}

// TestRequestOnAHungEngineIsRetriedElsewhere has an engine that sends nothing on an open stream: the runner waits if
// the engine answers probes, and retries on another replica if it does not.
func TestRequestOnAHungEngineIsRetriedElsewhere(t *testing.T) {
	for hung, starts := range map[string]int{"": 1, "r1": 2} {
		synctest.Test(t, func(t *testing.T) {
			fakes := newFakeFleet()
			fakes.block, fakes.hungReplica = make(chan struct{}), hung
			time.AfterFunc(30*time.Second, func() { close(fakes.block) })
			got, err := run(t, fakes, newFakeClaimer(), testRequest("q1"))
			if err != nil || !got.complete() || fakes.starts != starts || fakes.probes == 0 {
				t.Fatal(hung, got, err, fakes.starts, fakes.probes)
			}
		})
	}
}

// TestNonRepeatableRequestWaitsForAHungEngine guards against starting a non-repeatable request on a
// second replica: the runner waits for the replica that may have run it.
func TestNonRepeatableRequestWaitsForAHungEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := newFakeFleet()
		fakes.block, fakes.hungReplica = make(chan struct{}), "r1"
		time.AfterFunc(10*time.Second, func() { close(fakes.block) })
		got, err := run(t, fakes, newFakeClaimer(), nonRepeatableRequest("q1"))
		if err != nil || !got.complete() || fakes.starts != 1 {
			t.Fatal(got, err, fakes.starts)
		}
	})
}

// TestReconnectedStreamIsResumedElsewhere has a caller that reconnected without the text received
// so far, and an engine that dies afterwards: the runner resumes with the text that it read from
// the engine in the meantime.
func TestReconnectedStreamIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes := newFakeFleet(fault{cut: 2}, fault{forget: true, open: "not_sent"})
		fakes.runs["r2"] = map[string]bool{"q1": true}
		request := testRequest("q1")
		request.Replica, request.Offset = "r2", 4
		got := received{next: 4, text: answerText(0, 4)}
		runner := newTestRunner(fakes, newFakeClaimer())
		err := runner.Run(t.Context(), request, func(chunk Chunk) error {
			// Wait until the prior reader has read all chunks.
			synctest.Wait()
			return got.sink(chunk)
		})
		runner.Wait()
		if err != nil || !got.complete() || fakes.badResume || fakes.starts != 1 {
			t.Fatal(got, err, fakes.badResume, fakes.starts)
		}
	})
}

func TestPriorIsFoundWhereChunksEndTogether(t *testing.T) {
	reader := &priorReader{chunkEnds: []boundary{{2, 4}, {5, 10}, {7, 14}}}
	reader.text.WriteString("aabbccddeeffgg")
	for name, c := range map[string]struct {
		received string
		ends     []boundary
		want     string
		found    bool
	}{
		"at the offset itself": {ends: []boundary{{5, 0}}, want: "aabbccddee", found: true},
		"later":                {received: "ddeeffgg", ends: []boundary{{3, 0}, {4, 2}, {7, 8}}, want: "aabbcc", found: true},
		"nowhere":              {received: "ddee", ends: []boundary{{3, 0}, {4, 4}}},
		"other text":           {received: "xxee", ends: []boundary{{3, 0}, {5, 4}}},
	} {
		if prior, found := reader.textBefore(c.received, c.ends); prior != c.want || found != c.found {
			t.Errorf("%s: %q, %t", name, prior, found)
		}
	}
}
