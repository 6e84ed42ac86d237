package load

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// maxOnlineAttempts bounds what a caller tries for one request.
	maxOnlineAttempts = 12
	// defaultRetryWait is waited where an answer names no time to come back.
	defaultRetryWait = 100 * time.Millisecond
	maxRetryWait     = 2 * time.Second
	onlineTimeout    = 60 * time.Second
)

// runOnline plays one request as a caller does: it comes back after "not run" answers
// and sends an unmarked or keyed request again after a cut.
func (r *Runner) runOnline(ctx context.Context, index int, arrival OnlineArrival) {
	bounded, cancel := context.WithTimeout(ctx, onlineTimeout)
	defer cancel()
	var copies sync.WaitGroup
	if arrival.Resend {
		copies.Go(func() { r.addOnline(r.playOnline(bounded, index+1, arrival)) })
	}
	r.addOnline(r.playOnline(bounded, index, arrival))
	copies.Wait()
}

func (r *Runner) addOnline(result OnlineResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.online = append(r.online, result)
}

func (r *Runner) playOnline(ctx context.Context, index int, arrival OnlineArrival) OnlineResult {
	result := OnlineResult{Arrival: arrival, Outcome: OnlineFailed}
	received := &received{times: newTokenTimes(r.started.Add(arrival.At))}
	for attempt := range maxOnlineAttempts {
		node, found := r.target(index, attempt)
		if !found {
			result.Detail = "no node is up"
			if !pause.Sleep(ctx, defaultRetryWait) {
				return result
			}
			continue
		}
		result.Attempts++
		err := r.attemptOnline(ctx, node, arrival, received, &result)
		if err == nil {
			return result
		}
		result.Detail = err.Error()
		wait, again := r.classify(err, &result)
		if !again || !pause.Sleep(ctx, wait) {
			return result
		}
	}
	return result
}

// attemptOnline streams once; on success it sets the outcome and records the times.
func (r *Runner) attemptOnline(ctx context.Context, node netip.AddrPort, arrival OnlineArrival, received *received, result *OnlineResult) error {
	request := ChatRequest{
		Model:         r.plan.Profile.Model,
		Content:       arrival.Content,
		MaxTokens:     arrival.MaxTokens,
		Priority:      PriorityOnline,
		NotRepeatable: arrival.NotRepeatable,
	}
	if arrival.NotRepeatable {
		// A keyed request is sent again whole: its key brings the same answer.
		request.IdempotencyKey = arrival.Marker
		*received = receivedAfresh(received)
	} else {
		request.LastEventID, request.Prior = received.lastEventID, received.text
	}
	streamed, err := r.caller.Stream(ctx, node, request, received.times.onTokens)
	result.Accepted = result.Accepted || streamed.Accepted
	received.add(streamed)
	if err != nil {
		return err
	}
	result.Sent++
	result.Text, result.PromptTokens, result.CachedTokens = received.text, streamed.PromptTokens, streamed.CachedTokens
	if received.text != arrival.Expected().Whole() {
		result.Outcome = OnlineWrong
		result.Detail = "answer differs from the right one, finish reason " + streamed.FinishReason
		return nil
	}
	result.Outcome = OnlineCompleted
	if !arrival.Resend {
		// Of two requests with one key, one waits for the other's whole answer.
		received.times.recordTo(r, arrival.NotRepeatable)
	}
	return nil
}

// received is what a caller has of its answer over all its connections.
type received struct {
	text        string
	lastEventID string
	times       *tokenTimes
}

func (r *received) add(streamed ChatResult) {
	r.text += streamed.Text
	if streamed.LastEventID != "" {
		r.lastEventID = streamed.LastEventID
	}
}

// receivedAfresh forgets the text but keeps the arrival, so that times count all attempts.
func receivedAfresh(before *received) received {
	return received{times: newTokenTimes(before.times.arrived)}
}

// classify notes how an attempt failed and tells whether and when to try again.
func (r *Runner) classify(err error, result *OnlineResult) (wait time.Duration, again bool) {
	var status *StatusError
	if errors.As(err, &status) {
		return classifyStatus(status, result)
	}
	if notSent(err) {
		return defaultRetryWait, true
	}
	result.Sent++
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		result.Outcome = OnlineCut
		return 0, false
	}
	// The connection broke: the answer may be complete somewhere, and a resend is safe
	// because an unmarked request may run again and a marked one carries its key.
	result.Cuts++
	result.Outcome = OnlineCut
	return defaultRetryWait, true
}

func classifyStatus(status *StatusError, result *OnlineResult) (wait time.Duration, again bool) {
	switch outcome.Outcome(status.Outcome) {
	case outcome.NotRun:
		result.NotRunAnswers++
		if !status.ShouldRetry {
			result.Outcome = OnlineFailed
			return 0, false
		}
		result.Outcome = OnlineRefused
		wait = status.RetryAfter
		if wait == 0 {
			wait = defaultRetryWait
		}
		return min(wait, maxRetryWait), true
	case outcome.Indeterminate:
		result.Sent++
		result.Outcome = OnlineIndeterminate
		return 0, false
	default:
		result.Sent++
		result.Outcome = OnlineFailed
		return 0, false
	}
}

// notSent tells whether no connection was made.
func notSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// tokenTimes collects when tokens came, counted from the arrival.
type tokenTimes struct {
	arrived time.Time
	last    time.Time
	first   time.Duration
	gaps    []time.Duration
}

func newTokenTimes(arrived time.Time) *tokenTimes { return &tokenTimes{arrived: arrived} }

// onTokens notes one event; its tokens share the time since the last one.
func (t *tokenTimes) onTokens(text string) {
	now := time.Now()
	if t.last.IsZero() {
		t.first = now.Sub(t.arrived)
	} else {
		tokens := max(tokensIn(text), 1)
		for range tokens {
			t.gaps = append(t.gaps, now.Sub(t.last)/time.Duration(tokens))
		}
	}
	t.last = now
}

func (t *tokenTimes) recordTo(r *Runner, marked bool) {
	if t.last.IsZero() {
		return
	}
	r.firstToken.Record(t.first)
	if marked {
		r.firstTokenMarked.Record(t.first)
	} else {
		r.firstTokenUnmarked.Record(t.first)
	}
	for _, gap := range t.gaps {
		r.interToken.Record(gap)
	}
}

// tokensIn counts the tokens of an emulated answer: each begins with a space.
func tokensIn(text string) int {
	count := 0
	for index := range len(text) {
		if text[index] == ' ' {
			count++
		}
	}
	return count
}
