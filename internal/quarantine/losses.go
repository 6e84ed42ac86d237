package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// maxUnfinishedRuns bounds the ended replicas and the losses of one message together: whether each end was recognized makes no difference.
	maxUnfinishedRuns = 2 * maxEndedReplicas
	// minLossesForApart is the number of losses from which on a message runs apart. One connection is lost by chance.
	minLossesForApart = 2
	// maxLossMessages bounds the messages whose losses are remembered, maxLosses those of one message: a popular one loses connections, and comes to
	// its end, all the time.
	maxLossMessages     = 1024
	maxLossesPerMessage = 4 * maxUnfinishedRuns
	// lossKeepers is the number of nodes, by rank, to which a loss is reported: the keeper may be down.
	lossKeepers = 2
)

// noReplica stands in the outbox for the losses of a message.
const noReplica replica.Key = 0

// loss is a run whose connection ended without a whole answer while its replica was not found to have ended.
type loss struct {
	lostAt  time.Time
	cleared bool
}

// losses are those of all messages, by the number of the run. They are joined like incidents, in any order. It is not safe for concurrent use.
type losses map[Key]map[uint64]*loss

// add joins one loss; it returns whether anything is new.
func (l losses) add(message Key, run uint64, added loss) bool {
	if l[message] == nil {
		l.evictIfFull()
		l[message] = map[uint64]*loss{}
	}
	known := l[message][run]
	switch {
	case known == nil:
		l.evictOldestCleared(message)
		if len(l[message]) >= maxLossesPerMessage {
			return false
		}
		l[message][run] = &added
		return true
	case added.cleared && !known.cleared:
		known.cleared = true
		return true
	default:
		return false
	}
}

// evictOldestCleared drops the oldest cleared loss of a message that has too many.
func (l losses) evictOldestCleared(message Key) {
	if len(l[message]) < maxLossesPerMessage {
		return
	}
	dropped, found := uint64(0), false
	for run, lost := range l[message] {
		if lost.cleared && (!found || lost.lostAt.Before(l[message][dropped].lostAt)) {
			dropped, found = run, true
		}
	}
	if found {
		delete(l[message], dropped)
	}
}

// openCount counts the losses of a message since which it has neither come to its end nor further.
func (l losses) openCount(message Key) int {
	count := 0
	for _, lost := range l[message] {
		if !lost.cleared {
			count++
		}
	}
	return count
}

// clear notes that the message came to its end or further; it returns whether it had losses.
func (l losses) clear(message Key) bool {
	cleared := false
	for _, lost := range l[message] {
		cleared = cleared || !lost.cleared
		lost.cleared = true
	}
	return cleared
}

// expire drops the losses that are older than remember.
func (l losses) expire(now time.Time) {
	for message, runs := range l {
		for run, lost := range runs {
			if now.Sub(lost.lostAt) >= retention {
				delete(runs, run)
			}
		}
		if len(runs) == 0 {
			delete(l, message)
		}
	}
}

// evictIfFull drops the message with the fewest open losses, the oldest of them, where there are too many.
func (l losses) evictIfFull() {
	if len(l) < maxLossMessages {
		return
	}
	var dropped Key
	var fewest int
	var oldest time.Time
	for message := range l {
		count, newest := l.openCount(message), l.newestAt(message)
		if oldest.IsZero() || count < fewest || count == fewest && newest.Before(oldest) {
			dropped, fewest, oldest = message, count, newest
		}
	}
	delete(l, dropped)
}

func (l losses) newestAt(message Key) time.Time {
	var newest time.Time
	for _, lost := range l[message] {
		if lost.lostAt.After(newest) {
			newest = lost.lostAt
		}
	}
	return newest
}

// encode returns the losses of a message as they are sent.
func (l losses) encode(message Key, now time.Time) []*quarantinepb.Loss {
	var encoded []*quarantinepb.Loss
	for run, lost := range l[message] {
		encoded = append(encoded, &quarantinepb.Loss{Message: message[:], Run: run, AgeMillis: uint64(max(0, now.Sub(lost.lostAt)).Milliseconds()), Cleared: lost.cleared})
	}
	return encoded
}

// encodeApart returns the losses of all messages that run apart by them.
func (l losses) encodeApart(now time.Time) []*quarantinepb.Loss {
	var encoded []*quarantinepb.Loss
	for message, runs := range l {
		if len(runs) >= minLossesForApart {
			encoded = append(encoded, l.encode(message, now)...)
		}
	}
	return encoded
}

// join takes in losses that another node knows of; it returns the messages of which something is new.
func (l losses) join(encoded []*quarantinepb.Loss, now time.Time) []Key {
	var changed []Key
	for _, lost := range encoded {
		age := time.Duration(min(lost.GetAgeMillis(), uint64(retention.Milliseconds()))) * time.Millisecond
		key, valid := decodeKey(lost.GetMessage())
		if valid && age < retention && l.add(key, lost.GetRun(), loss{lostAt: now.Add(-age), cleared: lost.GetCleared()}) {
			changed = append(changed, key)
		}
	}
	return changed
}

// addLoss counts a lost run whose replica was not found to have ended. The mutex is held.
func (s *Service) addLoss(lost *run) {
	now := clock.Now()
	s.evidence.losses.add(lost.key, rand.Uint64(), loss{lostAt: now})
	s.metrics.losses.Inc()
	s.lossesChanged(lost.key)
	s.reportLosses(lost.key, now)
}

// lossesChanged takes in what follows from the losses of a message. The mutex is held.
func (s *Service) lossesChanged(key Key) {
	s.updateRejected(key)
	s.signalChanged()
}

// clearLosses notes that a message came to its end or further. The mutex is held.
func (s *Service) clearLosses(key Key) {
	apart := s.evidence.losses.openCount(key) >= minLossesForApart
	if !s.evidence.losses.clear(key) {
		return
	}
	s.lossesChanged(key)
	if apart {
		s.announceLosses(key)
		return
	}
	s.reportLosses(key, clock.Now())
}

// reportLosses sends the keepers of a message the losses that this node knows; they announce them to all nodes from lossesApart on. The mutex is held.
func (s *Service) reportLosses(key Key, now time.Time) {
	view := s.viewer.View()
	notice := &quarantinepb.Notice{Losses: s.evidence.losses.encode(key, now)}
	for _, keeper := range lossKeepersOf(view, key) {
		if keeper.ID == view.Self {
			s.announceIfApart(key)
			continue
		}
		s.send(keeper.PeerAddress, notice)
	}
}

// announceIfApart has all nodes learn of a message that runs apart by its losses. The mutex is held.
func (s *Service) announceIfApart(key Key) {
	if s.evidence.losses.openCount(key) >= minLossesForApart {
		s.announceLosses(key)
	}
}

// lossKeepersOf returns the members to which the losses of a message are reported.
func lossKeepersOf(view *membership.View, key Key) []membership.Member {
	ranked := keepers(view, key)
	return ranked[:min(lossKeepers, len(ranked))]
}

// isLossKeeper says that this node is one of them.
func isLossKeeper(view *membership.View, key Key) bool {
	return slices.ContainsFunc(lossKeepersOf(view, key), func(keeper membership.Member) bool { return keeper.ID == view.Self })
}

// joinLosses takes in losses that another node knows of. The mutex is held.
func (s *Service) joinLosses(encoded []*quarantinepb.Loss, now time.Time) {
	for _, key := range s.evidence.losses.join(encoded, now) {
		s.lossesChanged(key)
		if isLossKeeper(s.viewer.View(), key) {
			s.announceIfApart(key)
		}
	}
}

// announceLosses queues the losses of a message for the next notice to the other nodes. The mutex is held.
func (s *Service) announceLosses(key Key) {
	s.announce(noReplica, key)
}
