package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// headPatience and gapPatience are how many objectives a replica may be silent before another one is tried.
	headPatience = 1.5
	gapPatience  = 2.0
	// leastPatience bounds both from below.
	leastPatience = 250 * time.Millisecond
)

// silenceTimer ends an attempt at a replica that sends nothing. Its zero value never does.
type silenceTimer struct {
	mutex sync.Mutex
	timer *time.Timer
	gap   time.Duration
}

// watchSilence starts a timer where another replica could do better.
func (e *exchange) watchSilence(cancel context.CancelCauseFunc) *silenceTimer {
	if !e.resumes() || e.runs+1 >= max(1, e.route.Attempts) || e.route.Objective <= 0 {
		return &silenceTimer{}
	}
	first := max(leastPatience, time.Duration(headPatience*float64(e.route.Objective)))
	watching := &silenceTimer{gap: max(leastPatience, time.Duration(gapPatience*float64(e.route.GapObjective)))}
	watching.timer = time.AfterFunc(first, func() { cancel(errSilent) })
	return watching
}

func (s *silenceTimer) heard() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Reset(s.gap)
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
