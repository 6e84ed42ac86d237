package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// abortedRunGrace is how long a replica may work on a message after the connection was closed: most stop at the next step, some only when they
	// next write.
	abortedRunGrace = 2 * time.Second
	// maxAbortedRuns bounds the runs that are remembered for that.
	maxAbortedRuns = 4096
)

// abortedRunInquiryDelays are the times after which it is found out whether a suspect that was broken off has ended its replica all the same; nothing
// else of this node may run there to show it.
var abortedRunInquiryDelays = []time.Duration{150 * time.Millisecond, 450 * time.Millisecond}

// abortedRun is a run that was broken off from here.
type abortedRun struct {
	run   *run
	until time.Time
}

// trackAborted remembers a run that was broken off: its replica may end under it yet.
func (s *Service) trackAborted(aborted *run) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireAbortedRuns(now)
	if s.abortedCount >= maxAbortedRuns {
		return
	}
	aborted.aborted = true
	s.abortedCount++
	s.abortedRuns[aborted.handle.Key()] = append(s.abortedRuns[aborted.handle.Key()], abortedRun{run: aborted, until: now.Add(abortedRunGrace)})
	if s.evidence.verdict(aborted.key) != Allowed && !s.stopped {
		s.running.Go(func() { s.inquireAfterAbort(aborted.handle) })
	}
}

// inquireAfterAbort finds out a while later whether a replica has ended.
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

// suspectAbortedRuns counts a replica's end against the messages that may still have run there. The mutex is held.
func (s *Service) suspectAbortedRuns(ended replica.Key, endedAt time.Time) {
	for _, aborted := range s.abortedRuns[ended] {
		if endedAt.Before(aborted.until) && endedAt.After(aborted.run.startedAt) {
			s.suspect(aborted.run, endedAt, endedAt.Sub(aborted.run.startedAt))
		}
	}
	s.abortedCount -= len(s.abortedRuns[ended])
	delete(s.abortedRuns, ended)
}

// expireAbortedRuns drops what no replica works on any more. The mutex is held.
func (s *Service) expireAbortedRuns(now time.Time) {
	if now.Before(s.expireAbortedAt) {
		return
	}
	s.expireAbortedAt = now.Add(abortedRunGrace)
	for replicaKey, runs := range s.abortedRuns {
		kept := runs[:0]
		for _, aborted := range runs {
			if now.Before(aborted.until.Add(abortedRunGrace)) {
				kept = append(kept, aborted)
			}
		}
		s.abortedCount -= len(runs) - len(kept)
		if s.abortedRuns[replicaKey] = kept; len(kept) == 0 {
			delete(s.abortedRuns, replicaKey)
		}
	}
}
