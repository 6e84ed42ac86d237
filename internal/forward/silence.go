package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// A replica may be silent for this multiple of the route's objective before its first event, and of its gap objective between two
	// events, before another replica is tried.
	firstEventTimeoutFactor = 1.5
	gapTimeoutFactor        = 2.0
	// minSilenceTimeout is the lower bound of both timeouts.
	minSilenceTimeout = 250 * time.Millisecond
)

// silenceTimer cancels an attempt at a replica that sends nothing. The zero value never fires.
type silenceTimer struct {
	mutex sync.Mutex
	timer *time.Timer
	// gapTimeout applies between two events.
	gapTimeout time.Duration
	// timeout is the duration with which the timer was last set.
	timeout time.Duration
}

// watchSilence starts the timer of an attempt if another replica may take over. The attempt is cancelled only once the retry budget was
// charged for the next one: with an exhausted budget, a late answer is better than none.
func (e *exchange) watchSilence(cancel context.CancelCauseFunc) *silenceTimer {
	if !e.canResume() || e.runs+1 >= max(1, e.route.Attempts) || e.route.Objective <= 0 {
		return &silenceTimer{}
	}
	silence := &silenceTimer{
		gapTimeout: max(minSilenceTimeout, time.Duration(gapTimeoutFactor*float64(e.route.GapObjective))),
		timeout:    max(minSilenceTimeout, time.Duration(firstEventTimeoutFactor*float64(e.route.Objective))),
	}
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	silence.timer = time.AfterFunc(silence.timeout, func() {
		if !e.handler.budget.take() {
			silence.rearm()
			return
		}
		e.retryPaid.Store(true)
		cancel(errSilenceTimeout)
	})
	return silence
}

// eventReceived restarts the timer with the timeout between events.
func (s *silenceTimer) eventReceived() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timeout = s.gapTimeout
		s.timer.Reset(s.gapTimeout)
	}
}

// rearm restarts the timer with the same timeout.
func (s *silenceTimer) rearm() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

func (s *silenceTimer) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
