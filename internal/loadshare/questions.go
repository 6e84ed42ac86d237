package loadshare

import (
	"context"
	"sync"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/clock"
)

const (
	// freshAge is the age up to which an answer is used for the choice of a replica without a new query: about the time between two requests
	// of a zone in a burst.
	freshAge = 5 * time.Millisecond
	// refreshTimeout bounds how long a request waits for a fresh answer. One way takes 0.2 ms within a zone and 1 ms between zones of a
	// region, and a node with a fifth of a core takes some milliseconds to be scheduled.
	refreshTimeout = 15 * time.Millisecond
	// queryTimeout bounds a query; requests wait for at most refreshTimeout.
	queryTimeout = 250 * time.Millisecond
	// missesBeforeSwitch is the number of consecutive failed queries before the next route is used.
	missesBeforeSwitch = 2
	// ownExchangeRetryInterval is how often the first route is tried again after it failed.
	ownExchangeRetryInterval = 5 * time.Second
	// relayTimeout bounds the call of a relaying node to its exchange. It is shorter than the queryTimeout of the node it relays for.
	relayTimeout = 150 * time.Millisecond
)

// queries runs one query at a time, and selects the route by the outcomes of earlier ones. It is safe for concurrent use.
type queries struct {
	mutex sync.Mutex
	// pending is closed when the query in flight has ended; nil while there is none.
	pending chan struct{}
	// misses counts failed queries since the first route failed. It is reset only by an answer from the first route.
	misses int
	// ownExchangeFailedAt is when the first route last failed.
	ownExchangeFailedAt time.Time
	// startedAt is when the query in flight was started.
	startedAt  time.Time
	stopped    bool
	background sync.WaitGroup
}

// route returns the route to use; known is false if there is none.
func (q *queries) route(topo topology, now time.Time) (chosen route, known bool) {
	if len(topo.routes) == 0 {
		return route{}, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.retriesOwnExchange(now) {
		return topo.routes[0], true
	}
	return topo.routes[(q.misses/missesBeforeSwitch)%len(topo.routes)], true
}

// retriesOwnExchange reports whether a query started at startedAt tries the first route again. The caller must hold mutex.
func (q *queries) retriesOwnExchange(startedAt time.Time) bool {
	return q.misses > 0 && startedAt.Sub(q.ownExchangeFailedAt) >= ownExchangeRetryInterval
}

// ownExchangeAnswers reports whether the first route is in use and has not failed since its last answer.
func (q *queries) ownExchangeAnswers() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.misses == 0
}

// start returns a channel that is closed when the query in flight ends. If there is none, it runs query in the background. After stop it
// runs none and returns a closed channel.
func (q *queries) start(query func() error) (done <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.pending != nil {
		return q.pending
	}
	pending := make(chan struct{})
	if q.stopped {
		close(pending)
		return pending
	}
	q.pending = pending
	q.startedAt = clock.Now()
	q.background.Go(func() { q.finish(query(), clock.Now()) })
	return pending
}

// stop prevents further queries and waits for the one in flight.
func (q *queries) stop() {
	q.mutex.Lock()
	q.stopped = true
	q.mutex.Unlock()
	q.background.Wait()
}

// finish records the outcome of a query.
func (q *queries) finish(err error, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	close(q.pending)
	q.pending = nil
	if q.retriesOwnExchange(q.startedAt) {
		// After a single failed retry the previous route is used again. Otherwise a node in a long partition would have no answers for
		// half a second of every five.
		q.ownExchangeFailedAt = now
		if err == nil {
			q.misses = 0
		}
		return
	}
	if err == nil {
		if q.misses < missesBeforeSwitch {
			q.misses = 0
		}
		return
	}
	if q.misses == 0 {
		q.ownExchangeFailedAt = now
	}
	q.misses++
}

// Refresh waits until the load of the other nodes is fresh, for at most refreshTimeout or until ctx ends.
func (s *Service) Refresh(ctx context.Context) {
	if s.isFresh() {
		return
	}
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-s.startQuery():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// KeepFresh starts a query unless the last answer is fresh. It does not wait.
func (s *Service) KeepFresh() {
	if !s.isFresh() {
		s.startQuery()
	}
}

func (s *Service) isFresh() bool {
	age, known := s.fleet.answerAge(clock.Now())
	return known && age <= freshAge
}

// startQuery starts a query in the background unless one is in flight; the returned channel is closed when that ends.
func (s *Service) startQuery() (done <-chan struct{}) { return s.queries.start(s.query) }

// query reports this node's load to an exchange and applies the answer. It returns nil if no exchange is known.
func (s *Service) query() error {
	now := clock.Now()
	topo := s.currentTopology()
	chosen, known := s.chooseRoute(topo, now)
	if !known {
		return nil
	}
	load := s.currentLoad()
	message := s.newReport(load, now)
	message.KnownRun, message.KnownVersion = s.fleet.lastAnswer()
	message.Of = s.knownReplicaKeys()
	if chosen.node == topo.self {
		s.board.recordReport(chosen.node, message, now)
		s.applyAnswer(s.board.AnswerTo(message), load, now)
		return nil
	}
	callCtx, cancel := context.WithTimeout(s.ctx, queryTimeout)
	defer cancel()
	answer := &loadsharepb.FleetLoad{}
	method := methodAsk
	if chosen.relayed {
		method = methodAskFor
	}
	if err := s.caller.Call(callCtx, chosen.node, method, message, answer); err != nil {
		s.logger.Debug().Err(err).Stringer("node", chosen.node).Bool("relayed", chosen.relayed).Msg("exchange_silent")
		return err
	}
	s.applyAnswer(answer, load, clock.Now())
	return nil
}

// knownReplicaKeys returns the keys of the replicas that this node knows if these are only a part of the fleet's, and nil otherwise. The
// answer is restricted to them, so that its size does not grow with the number of replicas.
func (s *Service) knownReplicaKeys() []uint64 {
	view := s.directory.View()
	if !view.IsPartial() {
		return nil
	}
	keys := make([]uint64, 0, view.Len())
	for handle := range view.All() {
		keys = append(keys, uint64(handle.Key()))
	}
	return keys
}

// applyAnswer applies the answer to a query that carried reported, and sets the load of the other nodes on the replicas.
func (s *Service) applyAnswer(answer *loadsharepb.FleetLoad, reported nodeLoad, now time.Time) {
	s.fleet.applyAnswer(answer, reported, now)
	others := s.fleet.otherLoads()
	for handle := range s.directory.View().All() {
		handle.SetOthers(others[handle.Key()], now)
	}
	if s.options.OnAnswer != nil {
		s.options.OnAnswer()
	}
}
