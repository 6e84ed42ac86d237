package quarantine

import (
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/replica"
)

// noticeAtStop returns the last notice of this node: the evidence that is still queued, and the runs that it aborted a
// short while ago, since it will not learn whether their replicas end.
func (s *Service) noticeAtStop(now time.Time) *quarantinepb.Notice {
	notice := s.takeOutbox(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for replicaKey, runs := range s.abortedRuns {
		for _, aborted := range runs {
			if now.Before(aborted.until) {
				notice.AbortedRuns = append(notice.AbortedRuns, encodeAbortedRun(replicaKey, aborted, now))
			}
		}
	}
	return notice
}

func encodeAbortedRun(replicaKey replica.Key, aborted abortedRun, now time.Time) *quarantinepb.AbortedRun {
	return &quarantinepb.AbortedRun{
		Message:         keyBytes(aborted.run.key),
		Replica:         uint64(replicaKey),
		RanMillis:       uint32(now.Sub(aborted.run.startedAt).Milliseconds()),
		RemainingMillis: uint32(aborted.until.Sub(now).Milliseconds()),
		Granted:         aborted.run.granted,
		Progressed:      aborted.run.progressed,
		Reached:         uint32(aborted.run.reached),
		Item:            aborted.run.item,
		Deciding:        aborted.run.deciding,
		Retry:           aborted.run.retry,
	}
}

// takeOverAborted tracks the aborted runs of a node that stops. The loss keepers of their messages inquire into the
// replicas, at which nobody else may run anything. The mutex is held.
func (s *Service) takeOverAborted(runs []*quarantinepb.AbortedRun, now time.Time) {
	for _, encoded := range runs {
		key, valid := decodeKey(encoded.GetMessage())
		if !valid {
			continue
		}
		handle := s.handleOf(replica.Key(encoded.GetReplica()))
		if handle == nil {
			s.logger.Info().Stringer("digest", key).Msg("aborted_run_of_unknown_replica")
			continue
		}
		aborted := &run{
			service:    s,
			key:        key,
			handle:     handle,
			startedAt:  now.Add(-time.Duration(encoded.GetRanMillis()) * time.Millisecond),
			granted:    encoded.GetGranted(),
			item:       encoded.GetItem(),
			deciding:   encoded.GetDeciding(),
			retry:      encoded.GetRetry(),
			progressed: encoded.GetProgressed(),
			reached:    int(encoded.GetReached()),
		}
		remaining := min(time.Duration(encoded.GetRemainingMillis())*time.Millisecond, abortedRunGrace)
		if !s.addAborted(aborted, now, now.Add(remaining)) {
			continue
		}
		if end := s.evidence.incidents[handle.Key()]; end != nil {
			s.suspectAbortedRuns(handle.Key(), end.learnedAt)
		} else if isLossKeeper(s.viewer.View(), key) {
			s.logger.Info().Stringer("digest", key).Str(logging.FieldReplica, handle.Info().ID).Dur("remaining", remaining).Msg("aborted_run_taken_over")
			s.startInquiryAfterAbort(handle)
		}
	}
}
