package loadshare

import (
	"context"
	"sync"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// freshFor is the age up to which an answer is good enough for the choice of a replica: about the time in which another request of the
	// zone begins in a burst.
	freshFor = 5 * time.Millisecond
	// refreshWait bounds the wait of a request for a fresh answer; one way within a zone takes 0.2 ms, between zones of a region 1 ms,
	// and a node with a fifth of a core takes some ms to be scheduled.
	refreshWait = 15 * time.Millisecond
	// answerTimeout bounds the wait for an answer that nobody waits for.
	answerTimeout = 250 * time.Millisecond
	// missesBorne is the number of answers that may fail to come, one after another, before another exchange is used.
	missesBorne = 2
	// ownExchangeAgain is how often the zone's own exchange is tried again after it did not answer.
	ownExchangeAgain = 5 * time.Second
	// relayTimeout bounds the wait of a node that passes a question on: the asker waits for answerTimeout.
	relayTimeout = 150 * time.Millisecond
)

// questions keeps one question at a time, and which exchange answers. It is safe for concurrent use.
type questions struct {
	mutex sync.Mutex
	// pending is closed when the present question has ended; nil while there is none.
	pending chan struct{}
	// missed counts the answers that did not come, one after another, since missedAt.
	missed   int
	missedAt time.Time
	// began is when the present question was put.
	began   time.Time
	stopped bool
	running sync.WaitGroup
}

// way returns the way to an exchange to use; known is false where there is none.
func (q *questions) way(place places, now time.Time) (used way, known bool) {
	if len(place.ways) == 0 {
		return way{}, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.triesOwn(now) {
		return place.ways[0], true
	}
	return place.ways[(q.missed/missesBorne)%len(place.ways)], true
}

// triesOwn says that a question put at that time tries this node's own exchange again. The mutex is held.
func (q *questions) triesOwn(putAt time.Time) bool {
	return q.missed > 0 && putAt.Sub(q.missedAt) >= ownExchangeAgain
}

// answered says that this node's own exchange, not one that stands in for it, answered last.
func (q *questions) answered() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.missed == 0
}

// begin returns the channel that is closed when the present question ends. Where there is none, ask is run to put one; after stop
// there is none.
func (q *questions) begin(ask func() error) (ended <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.pending != nil {
		return q.pending
	}
	ending := make(chan struct{})
	if q.stopped {
		close(ending)
		return ending
	}
	q.pending = ending
	q.began = clock.Now()
	q.running.Go(func() { q.end(ask(), clock.Now()) })
	return ending
}

// stop returns once no question is pending; no further one is put.
func (q *questions) stop() {
	q.mutex.Lock()
	q.stopped = true
	q.mutex.Unlock()
	q.running.Wait()
}

// end notes the end of a question.
func (q *questions) end(err error, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	close(q.pending)
	q.pending = nil
	if q.triesOwn(q.began) {
		// The way used before stands in again at once if this one still does not answer: else a node that is cut off for long would know
		// nothing of the others for half a second of each five.
		q.missedAt = now
		if err == nil {
			q.missed = 0
		}
		return
	}
	if err == nil {
		if q.missed < missesBorne {
			q.missed = 0
		}
		return
	}
	if q.missed == 0 {
		q.missedAt = now
	}
	q.missed++
}

// Refresh returns once this node knows what the others have as of a moment ago, or does not learn it in time.
func (s *Service) Refresh(ctx context.Context) {
	if s.isFresh() {
		return
	}
	timer := time.NewTimer(refreshWait)
	defer timer.Stop()
	select {
	case <-s.ask():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// KeepFresh asks for what the others have, unless the last answer is of a moment ago. It does not wait.
func (s *Service) KeepFresh() {
	if !s.isFresh() {
		s.ask()
	}
}

func (s *Service) isFresh() bool {
	age, known := s.fleet.age(clock.Now())
	return known && age <= freshFor
}

// ask asks this node's exchange in the background, one question at a time; the returned channel is closed when that has ended.
func (s *Service) ask() (ended <-chan struct{}) { return s.questions.begin(s.question) }

// question puts one question and takes in its answer.
func (s *Service) question() error {
	now := clock.Now()
	place := s.place()
	used, known := s.chooseWay(place, now)
	if !known {
		return nil
	}
	own := s.own()
	message := s.message(own, now)
	message.KnownRun, message.KnownVersion = s.fleet.known()
	message.Of = s.partKnown()
	if used.node == place.self {
		s.board.takeReport(used.node, message, now)
		s.apply(s.board.AnswerTo(message), own, now)
		return nil
	}
	bounded, cancel := context.WithTimeout(s.ctx, answerTimeout)
	defer cancel()
	answer := &loadsharepb.FleetLoad{}
	method := methodAsk
	if used.relayed {
		method = methodAskFor
	}
	if err := s.caller.Call(bounded, used.node, method, message, answer); err != nil {
		s.logger.Debug().Err(err).Stringer("node", used.node).Bool("relayed", used.relayed).Msg("exchange_silent")
		return err
	}
	s.apply(answer, own, clock.Now())
	return nil
}

// partKnown returns the keys of the replicas that this node knows, where these are a part of all; else none. The answer then does not grow with
// the number of replicas.
func (s *Service) partKnown() []uint64 {
	view := s.directory.View()
	if !view.KnowsPart() {
		return nil
	}
	keys := make([]uint64, 0, view.Len())
	for handle := range view.All() {
		keys = append(keys, uint64(handle.Key()))
	}
	return keys
}

// apply takes in what all nodes have.
func (s *Service) apply(answer *loadsharepb.FleetLoad, own state, now time.Time) {
	s.fleet.take(answer, own, now)
	others := s.fleet.others()
	for handle := range s.directory.View().All() {
		handle.SetOthers(others[handle.Key()], now)
	}
	if s.options.Changed != nil {
		s.options.Changed()
	}
}
