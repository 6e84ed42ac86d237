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
	// maxOnlineAttempts is the maximum number of attempts of a caller for one request.
	maxOnlineAttempts = 12
	// defaultRetryWait is the delay before a retry if the response sets none.
	defaultRetryWait = 100 * time.Millisecond
	maxRetryWait     = 2 * time.Second
	onlineTimeout    = 60 * time.Second
)

// runOnline plays one request like a real caller: it retries after "not run" responses,
// and it sends an unmarked or keyed request again after a cut connection.
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
		wait, retry := r.classify(err, &result)
		if !retry || !pause.Sleep(ctx, wait) {
			return result
		}
	}
	return result
}

// attemptOnline makes one attempt; on success it sets the outcome and records the token times.
func (r *Runner) attemptOnline(ctx context.Context, node netip.AddrPort, arrival OnlineArrival, received *received, result *OnlineResult) error {
	request := ChatRequest{
		Model:         r.plan.Profile.Model,
		Content:       arrival.Content,
		MaxTokens:     arrival.MaxTokens,
		Priority:      PriorityOnline,
		NotRepeatable: arrival.NotRepeatable,
	}
	if arrival.NotRepeatable {
		// A keyed request is sent again from the start: its key returns the same answer.
		request.IdempotencyKey = arrival.Marker
		*received = restarted(received)
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
	if received.text != arrival.Expected().FullText() {
		result.Outcome = OnlineWrong
		result.Detail = "answer differs from the right one, finish reason " + streamed.FinishReason
		return nil
	}
	result.Outcome = OnlineCompleted
	if !arrival.Resend {
		// Of two requests with the same key, one waits for the other's complete answer, so their times are not recorded.
		received.times.recordTo(r, arrival.NotRepeatable)
	}
	return nil
}

// received is the part of the answer that a caller has received over all its connections.
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

// restarted discards the text but keeps the arrival time, so that times include all attempts.
func restarted(previous *received) received {
	return received{times: newTokenTimes(previous.times.arrived)}
}

// classify records how an attempt failed and returns whether to retry and after which delay.
func (r *Runner) classify(err error, result *OnlineResult) (wait time.Duration, retry bool) {
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
	// The connection broke and the request may have completed. Sending it again is safe, because
	// an unmarked request may run again and a marked one has an idempotency key.
	result.Cuts++
	result.Outcome = OnlineCut
	return defaultRetryWait, true
}

func classifyStatus(status *StatusError, result *OnlineResult) (wait time.Duration, retry bool) {
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

// notSent reports whether the error means that no connection was made.
func notSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// tokenTimes collects the times at which tokens were received, relative to the request's arrival.
type tokenTimes struct {
	arrived time.Time
	last    time.Time
	first   time.Duration
	gaps    []time.Duration
}

func newTokenTimes(arrived time.Time) *tokenTimes { return &tokenTimes{arrived: arrived} }

// onTokens records one event; the time since the last event is divided among its tokens.
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

// tokensIn counts the tokens in text of an emulated answer, each of which begins with a space.
func tokensIn(text string) int {
	count := 0
	for index := range len(text) {
		if text[index] == ' ' {
			count++
		}
	}
	return count
}
