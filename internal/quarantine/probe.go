package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// probeTimeout bounds the attempt to connect to a replica's machine: a refusal arrives within a round trip, and no
	// answer means a cut link.
	probeTimeout = 150 * time.Millisecond
	// connectionCloseWait is the time within which all connections of a process that ends are seen to close.
	connectionCloseWait = 5 * time.Millisecond
)

// inquiry finds out whether the process of a replica has ended. All runs that were lost at the replica at the same time
// share one inquiry.
type inquiry struct {
	done chan struct{}
	// ended reports that the process has ended, counted that this is evidence against the messages that ran there. Both
	// are set before done is closed.
	ended   bool
	counted bool
	finding finding
	// at is when the inquiry began, or when it concluded once done is closed.
	at time.Time
}

// finding is the reason for the result of an inquiry, as it is logged.
type finding string

const (
	findingReplaced       finding = "replaced"
	findingConnectionKept finding = "connection_kept"
	findingConnected      finding = "connected"
	findingRefused        finding = "refused"
	findingNoAnswer       finding = "no_answer"
)

// ended reports whether the finding shows that the process has ended.
func (f finding) ended() bool { return f == findingReplaced || f == findingRefused }

// inquire returns the inquiry into a replica. It starts one unless one is under way or has already found that the
// replica ended. That finding is discarded if the replica has answered since: it refused connections for a while
// without having ended.
func (s *Service) inquire(handle *replica.Handle) *inquiry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.inquiries[handle.Key()]
	if current != nil && (!current.ended || !handle.AnsweredSince(current.at)) {
		return current
	}
	started := &inquiry{done: make(chan struct{}), at: clock.Now()}
	s.inquiries[handle.Key()] = started
	if s.stopped {
		close(started.done)
		return started
	}
	s.running.Go(func() { s.runInquiry(started, handle) })
	return started
}

// runInquiry carries out an inquiry. The end of a draining replica is planned and does not count against the messages
// that ran there.
func (s *Service) runInquiry(pending *inquiry, handle *replica.Handle) {
	result := s.probe(handle)
	ended := result.ended()
	counted := ended && !handle.Info().Draining
	s.mutex.Lock()
	pending.ended, pending.counted, pending.finding, pending.at = ended, counted, result, clock.Now()
	if !ended {
		delete(s.inquiries, handle.Key())
	}
	if counted {
		s.suspectAbortedRuns(handle.Key(), pending.at)
	}
	s.mutex.Unlock()
	close(pending.done)
	if ended {
		handle.Ended(clock.Now())
		s.metrics.ended.Inc()
		s.logger.Info().Str(logging.FieldReplica, handle.Info().ID).Bool("counted", counted).Msg("replica_ended")
	}
}

// probe finds out whether the replica's process has ended, which is so if all connections to it have closed and its
// machine refuses new ones. If a new connection succeeds or there is no answer, the process may still run, and only a
// connection or a link was lost.
func (s *Service) probe(handle *replica.Handle) finding {
	if handle.Replaced() {
		// The replica has started again under its ID, and its address accepts connections again.
		return findingReplaced
	}
	if handle.KeptAlive() && !s.connectionsCloseSoon(handle) {
		return findingConnectionKept
	}
	bounded, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	connection, err := s.network.Dial(bounded, handle.Info().Address)
	if err == nil {
		if closeErr := connection.Close(); closeErr != nil {
			s.logger.Debug().Err(closeErr).Msg("probe_not_closed")
		}
		return findingConnected
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return findingRefused
	}
	return findingNoAnswer
}

// connectionsCloseSoon reports whether the kept-alive connections have closed after connectionCloseWait.
func (s *Service) connectionsCloseSoon(handle *replica.Handle) bool {
	select {
	case <-time.After(connectionCloseWait):
	case <-s.ctx.Done():
	}
	return !handle.KeptAlive()
}

// expireInquiries drops the inquiries that found an ended replica and are older than retention; nothing runs at these
// replicas any more. The mutex is held.
func (s *Service) expireInquiries(now time.Time) {
	for key, concluded := range s.inquiries {
		if concluded.ended && now.Sub(concluded.at) >= retention {
			delete(s.inquiries, key)
		}
	}
}
