package platform

import (
	"context"
	"sync"
	"time"
)

const (
	// minAnswerTimeout and maxAnswerTimeout bound the adaptive timeout, which excludes an intended delay of the answer.
	minAnswerTimeout = 400 * time.Millisecond
	maxAnswerTimeout = 4 * time.Second
	// timeoutLatencyFactor is the ratio of the timeout to the latency of the last answer.
	timeoutLatencyFactor = 4
)

// adaptiveTimeout is the timeout for the next part of an answer from one service. It starts short, since a service that recovers after
// being silent does not answer earlier requests, so waiting for them gains nothing. It doubles with each missed answer to adapt to a slow
// service, and follows the latency of answers. It is safe for concurrent use.
type adaptiveTimeout struct {
	mutex   sync.Mutex
	timeout time.Duration
}

func newAdaptiveTimeout() *adaptiveTimeout { return &adaptiveTimeout{timeout: minAnswerTimeout} }

// call runs exchange, which makes a call through caller, and cancels it after hold, the delay by which the service may hold back the
// answer, plus the current timeout.
//
// The timeout restarts whenever exchange calls onProgress, because more of the answer has arrived: if many nodes read much data at once,
// each answer takes long, and retrying would slow down all of them.
//
// If the call times out, idle connections are closed: they may all have gone silent without a reset, and each would cost another failed
// call and a longer timeout.
func (t *adaptiveTimeout) call(ctx context.Context, hold time.Duration, caller *httpCaller, exchange func(ctx context.Context, onProgress func()) error) error {
	answerTimeout := t.current()
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(hold+answerTimeout, cancel)
	defer timer.Stop()
	start := time.Now()
	err := exchange(bounded, func() { timer.Reset(answerTimeout) })
	switch {
	case err == nil:
		t.recordLatency(time.Since(start) - hold)
	case bounded.Err() != nil && ctx.Err() == nil:
		t.recordTimeout(answerTimeout)
		caller.close()
	}
	return err
}

func (t *adaptiveTimeout) current() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.timeout
}

// recordLatency adapts the timeout to the latency of an answer.
func (t *adaptiveTimeout) recordLatency(latency time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.timeout = min(max(timeoutLatencyFactor*latency, minAnswerTimeout), maxAnswerTimeout)
}

// recordTimeout doubles the timeout after a call got no answer within expired. Concurrent calls that time out together double it once.
func (t *adaptiveTimeout) recordTimeout(expired time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.timeout = min(max(t.timeout, 2*expired), maxAnswerTimeout)
}
