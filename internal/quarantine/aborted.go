package quarantine

import (
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// abortedRunGrace is how long a replica may continue to work on a message after the connection was closed: most
	// stop at the next step, some only at their next write.
	abortedRunGrace = 2 * time.Second
	// maxAbortedRuns bounds the aborted runs that are tracked.
	maxAbortedRuns = 4096
)

// abortedRunInquiryDelays are the waits before the inquiries into the replica of an aborted run of a suspected message,
// each counted from the one before. Without them its end could go unnoticed, since this node may have no other run
// there.
var abortedRunInquiryDelays = []time.Duration{150 * time.Millisecond, 450 * time.Millisecond}

// abortedRun is a run that this node aborted, or whose grant lapsed. Its replica may work on it until the given time.
type abortedRun struct {
	run   *run
	until time.Time
}

// trackAborted tracks a run that was aborted or whose grant lapsed, since its replica may still end under it.
func (s *Service) trackAborted(aborted *run) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	suspected := aborted.probing || s.evidence.verdict(aborted.key) != Allowed
	if s.addAborted(aborted, now, now.Add(abortedRunGrace)) && suspected {
		s.startInquiryAfterAbort(aborted.handle)
	}
}

// addAborted adds a run whose replica may work on it until the given time, unless too many are tracked. The mutex is held.
func (s *Service) addAborted(aborted *run, now, until time.Time) bool {
	s.expireAbortedRuns(now)
	if s.abortedCount >= maxAbortedRuns {
		return false
	}
	aborted.aborted = true
	s.abortedCount++
	s.abortedRuns[aborted.handle.Key()] = append(s.abortedRuns[aborted.handle.Key()], abortedRun{run: aborted, until: until})
	return true
}

// startInquiryAfterAbort starts the inquiries into the replica of an aborted run unless the service stops. The mutex is
// held.
func (s *Service) startInquiryAfterAbort(handle *replica.Handle) {
	if !s.stopped {
		s.running.Go(func() { s.inquireAfterAbort(handle) })
	}
}

// inquireAfterAbort inquires after each of abortedRunInquiryDelays whether the replica has ended.
func (s *Service) inquireAfterAbort(handle *replica.Handle) {
	for _, wait := range abortedRunInquiryDelays {
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
			return
		}
		inquiry := s.inquire(handle)
		<-inquiry.done
		if inquiry.ended {
			return
		}
	}
}

// suspectAbortedRuns counts the end of a replica against the messages whose aborted runs may still have been there. Other
// runs are kept: the time of the end may still be corrected. The mutex is held.
func (s *Service) suspectAbortedRuns(ended replica.Key, endedAt time.Time) {
	s.keepAbortedRuns(ended, func(aborted abortedRun) bool {
		if !endedAt.Before(aborted.until) || !endedAt.After(aborted.run.startedAt) {
			return true
		}
		s.suspect(aborted.run, endedAt, endedAt.Sub(aborted.run.startedAt))
		if !aborted.run.begun() {
			s.suspectParts(aborted.run, endedAt)
		}
		return false
	})
}

// keepAbortedRuns keeps those aborted runs at a replica for which keep returns true. The mutex is held.
func (s *Service) keepAbortedRuns(replicaKey replica.Key, keep func(aborted abortedRun) bool) {
	runs := s.abortedRuns[replicaKey]
	kept := slices.DeleteFunc(runs, func(aborted abortedRun) bool { return !keep(aborted) })
	s.abortedCount -= len(runs) - len(kept)
	if s.abortedRuns[replicaKey] = kept; len(kept) == 0 {
		delete(s.abortedRuns, replicaKey)
	}
}

// expireAbortedRuns drops the aborted runs on which no replica works any more. It does so at most once per
// abortedRunGrace. The mutex is held.
func (s *Service) expireAbortedRuns(now time.Time) {
	if now.Before(s.expireAbortedAt) {
		return
	}
	s.expireAbortedAt = now.Add(abortedRunGrace)
	for replicaKey := range s.abortedRuns {
		s.keepAbortedRuns(replicaKey, func(aborted abortedRun) bool { return now.Before(aborted.until.Add(abortedRunGrace)) })
	}
}
