package platform

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// overdueAfter is how long an answer may take, beyond an intended delay, before its call counts as overdue.
const overdueAfter = minAnswerTimeout

// answerMonitor tracks the reads of one service that await an answer, and detects when the service falls silent and when it answers again.
// It is safe for concurrent use.
type answerMonitor struct {
	logger zerolog.Logger

	// mutex guards the fields below and those of the pending reads.
	mutex   sync.Mutex
	pending map[*pendingRead]struct{}
	// lastAnswer is when the service last answered. silentSince is the start of the first call that became overdue since then; it is zero
	// while the service answers.
	lastAnswer  time.Time
	silentSince time.Time
}

// pendingRead is a read that awaits its answer.
type pendingRead struct {
	// hold is the delay by which the service may hold back the answer.
	hold  time.Duration
	began time.Time
	// overdue is true if no part of the answer has arrived in time. overdueTimer sets it.
	overdue      bool
	overdueTimer *time.Timer
}

func newAnswerMonitor() *answerMonitor {
	return &answerMonitor{logger: zerolog.Nop(), pending: map[*pendingRead]struct{}{}}
}

// begin starts tracking a read that begins now. The caller must call end.
func (m *answerMonitor) begin(hold time.Duration) *pendingRead {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	read := &pendingRead{hold: hold, began: time.Now()}
	read.overdueTimer = time.AfterFunc(hold+overdueAfter, func() { m.recordOverdue(read) })
	m.pending[read] = struct{}{}
	return read
}

// end stops tracking a read.
func (m *answerMonitor) end(read *pendingRead) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	read.overdueTimer.Stop()
	delete(m.pending, read)
}

// recordProgress records that a part of the answer to a read has arrived.
func (m *answerMonitor) recordProgress(read *pendingRead) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, tracked := m.pending[read]; tracked {
		read.overdue = false
		read.overdueTimer.Reset(overdueAfter)
	}
}

// recordOverdue records that the answer to a read has not arrived in time.
func (m *answerMonitor) recordOverdue(read *pendingRead) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, tracked := m.pending[read]; !tracked {
		return
	}
	read.overdue = true
	if m.silentSince.IsZero() && m.lastAnswer.Before(read.began) {
		m.silentSince = read.began
		m.logger.Warn().Int("pending", len(m.pending)).Msg("service_silent")
	}
}

// recordAnswer records that the service has answered a call that began at began.
func (m *answerMonitor) recordAnswer(began time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastAnswer = time.Now()
	if !m.silentSince.IsZero() {
		m.logRecovery(began)
		m.silentSince = time.Time{}
	}
}

// logRecovery logs the answer that ends a silence. The mutex must be held.
func (m *answerMonitor) logRecovery(began time.Time) {
	oldest := m.lastAnswer
	for read := range m.pending {
		if read.began.Before(oldest) {
			oldest = read.began
		}
	}
	m.logger.Info().Int64("silent_ms", m.lastAnswer.Sub(m.silentSince).Milliseconds()).
		Int64("latency_ms", m.lastAnswer.Sub(began).Milliseconds()).
		Int("pending", len(m.pending)).Int64("oldest_pending_ms", m.lastAnswer.Sub(oldest).Milliseconds()).Msg("service_answers_again")
}
