package platform

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// overdueAfter is how long an answer may take, beyond an intended delay, before its call counts as overdue.
	overdueAfter = minAnswerTimeout
	// maxHedges limits the hedges of one read.
	maxHedges = 3
	// hedgeSpacing is the minimum time between the first and the second hedge of a read; it doubles with each further one.
	hedgeSpacing = minAnswerTimeout
)

// answerMonitor tracks the reads of one service that await an answer. It detects when the service falls silent, and has reads hedged whose
// answers were lost: a service that recovers from a silence never answers the calls that began before. A hedge is a second attempt beside
// the first, whose answer is still accepted, so that a service that is merely slow is not prevented from answering.
//
// An answer is considered lost if the service has answered a call that began later, and either the read is overdue or it began while
// another one was overdue. It is safe for concurrent use.
type answerMonitor struct {
	logger zerolog.Logger
	// onOverdue is called when a read becomes overdue, onRecovery when the service answers again after a silence. Neither is nil.
	onOverdue  func()
	onRecovery func()

	// mutex guards the fields below and those of the pending reads.
	mutex   sync.Mutex
	pending map[*pendingRead]struct{}
	// lastAnswer is when the service last answered. silentSince is the start of the first call that became overdue since then; it is zero
	// while the service answers.
	lastAnswer  time.Time
	silentSince time.Time
	// newestAnswered is the latest start of a call that the service has answered.
	newestAnswered time.Time
}

// pendingRead is a read that awaits its answer.
type pendingRead struct {
	// hold is the delay by which the service may hold back the answer.
	hold time.Duration
	// began is when the newest attempt began; doubtful is true if another read was overdue then.
	began    time.Time
	doubtful bool
	// overdue is true if no part of an answer has arrived in time. overdueTimer sets it.
	overdue      bool
	overdueTimer *time.Timer
	// hedges counts the hedges so far. A signal on hedge requests one; hedgeTimer is set while a request is delayed.
	hedges     int
	hedge      chan struct{}
	hedgeTimer *time.Timer
}

func newAnswerMonitor() *answerMonitor {
	return &answerMonitor{logger: zerolog.Nop(), onOverdue: func() {}, onRecovery: func() {}, pending: map[*pendingRead]struct{}{}}
}

// begin starts tracking a read whose first attempt begins now. The caller must call end.
func (m *answerMonitor) begin(hold time.Duration) *pendingRead {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	read := &pendingRead{hold: hold, began: time.Now(), doubtful: m.anyOverdue(), hedge: make(chan struct{}, 1)}
	read.overdueTimer = time.AfterFunc(hold+overdueAfter, func() { m.recordOverdue(read) })
	m.pending[read] = struct{}{}
	return read
}

// end stops tracking a read.
func (m *answerMonitor) end(read *pendingRead) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	read.overdueTimer.Stop()
	if read.hedgeTimer != nil {
		read.hedgeTimer.Stop()
	}
	delete(m.pending, read)
}

// recordHedge records that a hedge of a read begins now.
func (m *answerMonitor) recordHedge(read *pendingRead) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.logger.Info().Int64("awaited_ms", time.Since(read.began).Milliseconds()).Int("hedges", read.hedges+1).Msg("read_hedged")
	read.began, read.doubtful, read.overdue, read.hedgeTimer = time.Now(), false, false, nil
	read.hedges++
	read.overdueTimer.Reset(read.hold + overdueAfter)
}

// recordProgress records that a part of an answer to a read has arrived.
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
	if m.markOverdue(read) {
		m.onOverdue()
	}
}

// markOverdue is recordOverdue without its notification. It returns false if the read has ended.
func (m *answerMonitor) markOverdue(read *pendingRead) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, tracked := m.pending[read]; !tracked {
		return false
	}
	read.overdue = true
	if read.began.Before(m.newestAnswered) {
		m.requestHedge(read)
	}
	if m.silentSince.IsZero() && m.lastAnswer.Before(read.began) {
		m.silentSince = read.began
		m.logger.Warn().Int("pending", len(m.pending)).Msg("service_silent")
	}
	return true
}

// recordAnswer records that the service has answered a call that began at began, and requests hedges of the reads whose answers were lost.
func (m *answerMonitor) recordAnswer(began time.Time) {
	if m.endSilence(began) {
		m.onRecovery()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for read := range m.pending {
		if read.began.Before(began) && (read.overdue || read.doubtful) {
			m.requestHedge(read)
		}
	}
}

// endSilence records an answer to a call that began at began, and reports whether the service was silent until then.
func (m *answerMonitor) endSilence(began time.Time) (wasSilent bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastAnswer = time.Now()
	if began.After(m.newestAnswered) {
		m.newestAnswered = began
	}
	if m.silentSince.IsZero() {
		return false
	}
	m.logRecovery(began)
	m.silentSince = time.Time{}
	return true
}

// requestHedge requests a hedge of a read, once the spacing to the last one is over. The mutex must be held.
func (m *answerMonitor) requestHedge(read *pendingRead) {
	if read.hedges >= maxHedges || read.hedgeTimer != nil {
		return
	}
	spacing := time.Duration(0)
	if read.hedges > 0 {
		spacing = hedgeSpacing << (read.hedges - 1)
	}
	read.hedgeTimer = time.AfterFunc(spacing-time.Since(read.began), func() { subscription.Signal(read.hedge) })
}

// anyOverdue reports whether any read is overdue. The mutex must be held.
func (m *answerMonitor) anyOverdue() bool {
	for read := range m.pending {
		if read.overdue {
			return true
		}
	}
	return false
}

// awaitsOverdue reports whether any read is overdue.
func (m *answerMonitor) awaitsOverdue() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.anyOverdue()
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
