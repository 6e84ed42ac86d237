package origin

import (
	"context"
	"time"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// copies is the number of other nodes that keep a record.
	copies = 2
	// maxKeepers bounds the nodes that are asked to keep a record.
	maxKeepers = 6
	// collectInterval is how long records are collected that are sent together. A stream that is broken off earlier cannot be resumed
	// elsewhere.
	collectInterval = 5 * time.Millisecond
	// keepTimeout bounds the answer of a node that is asked to keep records.
	keepTimeout = 250 * time.Millisecond
	// maxOutbox bounds the records that wait to be sent; later ones are kept by this node alone.
	maxOutbox = 4096
	// flushTimeout bounds how long a stopping node sends records.
	flushTimeout = 300 * time.Millisecond
)

// outgoing is a record on its way to the nodes that keep it.
type outgoing struct {
	message *originpb.Record
	// candidates are the nodes that have not been asked yet; wanted is the number of copies that are missing.
	candidates []membership.Member
	wanted     int
}

// Record implements forward.Origins.
func (s *Service) Record(requestID string, began replica.Origin, lifetime time.Duration) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.book.add(requestID, began, false, lifetime, now) {
		s.metrics.dropped.Inc()
		return
	}
	if s.stopped || len(s.outbox) >= maxOutbox {
		s.metrics.dropped.Inc()
		return
	}
	known, _ := s.book.find(requestID, now)
	s.outbox = append(s.outbox, known.encode(requestID, now))
	if len(s.outbox) == 1 {
		s.running.Go(s.sendCollected)
	}
}

// sendCollected sends the records of one collectInterval to the nodes that keep them.
func (s *Service) sendCollected() {
	select {
	case <-time.After(collectInterval):
	case <-s.ctx.Done():
	}
	s.mutex.Lock()
	collected := s.outbox
	s.outbox = nil
	s.mutex.Unlock()
	// A stopping node still sends what it has: its callers resume their streams elsewhere.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), maxKeepers*keepTimeout)
	defer cancel()
	stop := context.AfterFunc(s.ctx, func() { time.AfterFunc(flushTimeout, cancel) })
	defer stop()
	s.place(ctx, collected)
}

// place has copies of each record kept by other nodes, in the order of its placement.
func (s *Service) place(ctx context.Context, collected []*originpb.Record) {
	var waiting []*outgoing
	for _, message := range collected {
		candidates := s.reachableFirst(s.placement(message.GetRequest(), maxKeepers))
		waiting = append(waiting, &outgoing{message: message, candidates: candidates, wanted: copies})
	}
	for len(waiting) > 0 && ctx.Err() == nil {
		s.placeRound(ctx, waiting)
		var left []*outgoing
		for _, record := range waiting {
			switch {
			case record.wanted <= 0:
			case len(record.candidates) > 0:
				left = append(left, record)
			case record.wanted == copies:
				s.metrics.unplaced.Inc()
			}
		}
		waiting = left
	}
}

// reachableFirst moves the nodes that leave or gave no answer a short while ago to the end.
func (s *Service) reachableFirst(candidates []membership.Member) []membership.Member {
	now := clock.Now()
	var reachable, unreachable []membership.Member
	for _, member := range candidates {
		if member.State == membership.Leaving || s.unreached.IsUnreached(member.PeerAddress, now) {
			unreachable = append(unreachable, member)
		} else {
			reachable = append(reachable, member)
		}
	}
	return append(reachable, unreachable...)
}

// placeRound asks, for each record, as many nodes as copies are missing.
func (s *Service) placeRound(ctx context.Context, waiting []*outgoing) {
	batches := map[membership.NodeID][]*outgoing{}
	members := map[membership.NodeID]membership.Member{}
	for _, record := range waiting {
		asked := min(record.wanted, len(record.candidates))
		for _, member := range record.candidates[:asked] {
			batches[member.ID] = append(batches[member.ID], record)
			members[member.ID] = member
		}
		record.candidates = record.candidates[asked:]
	}
	type answer struct {
		batch []*outgoing
		kept  int
	}
	answers := make(chan answer, len(batches))
	for id, batch := range batches {
		go func() { answers <- answer{batch, s.keepAt(ctx, members[id], batch)} }()
	}
	for range batches {
		received := <-answers
		for _, record := range received.batch[:received.kept] {
			record.wanted--
		}
	}
}

// keepAt asks a node to keep records and returns how many of them it keeps, from the first one on.
func (s *Service) keepAt(ctx context.Context, member membership.Member, batch []*outgoing) int {
	request := &originpb.KeepRequest{}
	for _, record := range batch {
		request.Records = append(request.Records, record.message)
	}
	bounded, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	var response originpb.KeepResponse
	if err := s.caller.Call(bounded, member.PeerAddress, methodKeep, request, &response); err != nil {
		// Nodes of an older build decline as well.
		s.unreached.MarkUnreached(member.PeerAddress, clock.Now())
		s.logger.Debug().Err(err).Str("member", string(member.ID)).Int("records", len(batch)).Msg("records_not_kept")
		return 0
	}
	s.unreached.Forget(member.PeerAddress)
	return min(int(response.GetKept()), len(batch))
}
