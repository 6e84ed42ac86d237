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
	// probeTimeout bounds a question to a replica's machine: a refusal comes within a round trip, silence is a link that is cut.
	probeTimeout = 150 * time.Millisecond
	// connectionCloseWait is the time within which the connections of one process that ends are seen to end.
	connectionCloseWait = 5 * time.Millisecond
)

// inquiry finds out, once for all runs that were lost there together, whether a replica's process has ended.
type inquiry struct {
	done chan struct{}
	// ended says that it has, counted that it counts against what ran there; both are set before done is closed.
	ended   bool
	counted bool
	finding finding
	at      time.Time
}

// finding is what an inquiry concluded from, as it stands in the log.
type finding string

const (
	findingReplaced       finding = "replaced"
	findingConnectionKept finding = "connection_kept"
	findingConnected      finding = "connected"
	findingRefused        finding = "refused"
	findingNoAnswer       finding = "no_answer"
)

// ended says that the finding shows the end of the process.
func (f finding) ended() bool { return f == findingReplaced || f == findingRefused }

// inquire returns the inquiry into a replica, begun where none is under way and none found its end before. One that found it is out of date
// where the replica has answered since: it refused connections for a while, and had not ended.
func (s *Service) inquire(handle *replica.Handle) *inquiry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.inquiries[handle.Key()]
	if known != nil && (!known.ended || !handle.AnsweredSince(known.at)) {
		return known
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

// runInquiry answers an inquiry. A replica that drains ends as planned, whatever runs there.
func (s *Service) runInquiry(pending *inquiry, handle *replica.Handle) {
	found := s.probe(handle)
	ended := found.ended()
	counted := ended && !handle.Info().Draining
	s.mutex.Lock()
	pending.ended, pending.counted, pending.finding, pending.at = ended, counted, found, clock.Now()
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

// probe finds out whether the replica's process has ended: all connections to it have ended, and its machine refuses new ones. Where a new
// connection is made, or there is no answer, the process may still run, and only a connection or a link was lost.
func (s *Service) probe(handle *replica.Handle) finding {
	if handle.Replaced() {
		// It has started again under its ID, and its address takes connections again.
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

// connectionsCloseSoon says that the kept connections have ended a moment later.
func (s *Service) connectionsCloseSoon(handle *replica.Handle) bool {
	select {
	case <-time.After(connectionCloseWait):
	case <-s.ctx.Done():
	}
	return !handle.KeptAlive()
}

// expireInquiries drops the ends of replicas that nothing runs at any more. The mutex is held.
func (s *Service) expireInquiries(now time.Time) {
	for key, concluded := range s.inquiries {
		if concluded.ended && now.Sub(concluded.at) >= retention {
			delete(s.inquiries, key)
		}
	}
}
