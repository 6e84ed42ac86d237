package quarantine

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/sloelift/sloelift/internal/logging"
)

const (
	// retryDelay is how long the rejected message of a batch item waits after the last end of a replica before its first
	// retry; maxRetryDelay is how long it waits before each further one. Both are far below the time for which an accepted
	// item may lie without a run while its replicas are calm.
	retryDelay, maxRetryDelay = 5 * time.Second, 10 * time.Second
)

// RetryDelay returns how long the rejected message of a batch item waits before it is retried, after the given number of
// retries under which replicas ended. A rejection rests on ends that may have had other causes, so that it is never final
// for an item, which its caller cannot send again. The delay bounds the rate at which a harmful item ends replicas.
func RetryDelay(failedRetries int) time.Duration {
	if failedRetries > 0 {
		return maxRetryDelay
	}
	return retryDelay
}

// failedRetries returns the number of retries of a rejected message that ended their replicas, or that were lost. Losses do
// not tell whether their runs were retries, so that only those count that would alone reject the message.
func (e *evidenceStore) failedRetries(message Key) int {
	retries := 0
	for _, end := range e.byMessage[message] {
		if suspected := end.suspects[message]; suspected.retry && !suspected.cleared() {
			retries++
		}
	}
	return max(retries, e.unfinishedRunCount(message)-maxUnfinishedRuns)
}

// retryAt returns the time from which a rejected message may be retried as an item.
func (e *evidenceStore) retryAt(message Key) time.Time {
	last := e.recalled[message]
	for _, end := range e.openIncidents(message) {
		if end.learnedAt.After(last) {
			last = end.learnedAt
		}
	}
	if newest := e.losses.newestAt(message); newest.After(last) {
		last = newest
	}
	return last.Add(RetryDelay(e.failedRetries(message)))
}

// itemVerdict returns the verdict on a batch item with the message: a rejected message is Apart once it may be retried.
func (e *evidenceStore) itemVerdict(message Key, now time.Time) Verdict {
	verdict := e.verdict(message)
	if verdict == Rejected && !e.partRejected(message) && !now.Before(e.retryAt(message)) {
		return Apart
	}
	return verdict
}

// retryWindow returns the time without ends of replicas after which a rejected message may be retried. It differs from
// message to message: the end of a replica under one retry is known before the others begin.
func retryWindow(message Key) time.Duration {
	share := float64(binary.BigEndian.Uint16(message[:])) / math.MaxUint16
	return stableWindow + time.Duration(share*float64(stableWindow))
}

// Retries implements ItemRegister.
func (s *Service) Retries(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.evidence.verdict(key) == Rejected
}

// StableForRetry implements ItemRegister.
func (s *Service) StableForRetry(key Key, service string) bool {
	return s.stableFor(service, retryWindow(key))
}

// logRetry logs that the run of a rejected message begins. The mutex is held.
func (s *Service) logRetry(key Key, replicaID string) {
	s.metrics.retries.Inc()
	s.logger.Info().Stringer("digest", key).Str(logging.FieldReplica, replicaID).Int("failed_retries", s.evidence.failedRetries(key)).Msg("message_retried")
}
