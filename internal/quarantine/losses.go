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
	// maxUnfinishedRuns is the number of ended replicas and losses of one message together from which it is rejected,
	// so that the bound holds even if the ends of replicas are not recognized as such.
	maxUnfinishedRuns = 2 * maxEndedReplicas
	// minLossesForApart is the number of losses from which a message is Apart. A single connection may be lost by
	// chance.
	minLossesForApart = 2
	// maxLossMessages bounds the messages whose losses are stored, maxLossesPerMessage the losses of one message: a
	// popular message loses connections, and completes, all the time.
	maxLossMessages     = 1024
	maxLossesPerMessage = 4 * maxUnfinishedRuns
	// lossKeepers is the number of nodes, in order of rank, to which a loss is reported: the first may be down.
	lossKeepers = 2
)

// noReplica is the key of the outbox under which the losses of messages are queued.
const noReplica replica.Key = 0

// loss is a run whose connection ended without a whole answer while its replica was not found to have ended.
type loss struct {
	lostAt  time.Time
	cleared bool
}

// losses holds the losses of all messages, by message and by a random number for each loss. Like incidents they can be
// merged in any order. It is not safe for concurrent use.
type losses map[Key]map[uint64]*loss

// add merges one loss and returns whether anything changed.
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

// evictOldestCleared removes the oldest cleared loss of a message that has maxLossesPerMessage of them.
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

// openCount returns the number of losses of a message since which it has neither completed nor progressed.
func (l losses) openCount(message Key) int {
	count := 0
	for _, lost := range l[message] {
		if !lost.cleared {
			count++
		}
	}
	return count
}

// clear marks the losses of a message as cleared, since it completed or progressed. It returns whether any was open.
func (l losses) clear(message Key) bool {
	cleared := false
	for _, lost := range l[message] {
		cleared = cleared || !lost.cleared
		lost.cleared = true
	}
	return cleared
}

// expire removes the losses that are older than retention.
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

// evictIfFull removes one message if there are too many: the one with the fewest open losses, and of several such the
// one whose newest loss is the oldest.
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

// newestAt returns the time of a message's newest loss.
func (l losses) newestAt(message Key) time.Time {
	var newest time.Time
	for _, lost := range l[message] {
		if lost.lostAt.After(newest) {
			newest = lost.lostAt
		}
	}
	return newest
}

// encode returns the wire form of the losses of a message.
func (l losses) encode(message Key, now time.Time) []*quarantinepb.Loss {
	var encoded []*quarantinepb.Loss
	for run, lost := range l[message] {
		encoded = append(encoded, &quarantinepb.Loss{
			Message:   message[:],
			Run:       run,
			AgeMillis: uint64(max(0, now.Sub(lost.lostAt)).Milliseconds()),
			Cleared:   lost.cleared,
		})
	}
	return encoded
}

// encodeApart returns the wire form of the losses of all messages that have minLossesForApart or more.
func (l losses) encodeApart(now time.Time) []*quarantinepb.Loss {
	var encoded []*quarantinepb.Loss
	for message, runs := range l {
		if len(runs) >= minLossesForApart {
			encoded = append(encoded, l.encode(message, now)...)
		}
	}
	return encoded
}

// join merges losses received from another node and returns the messages for which anything changed.
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

// lossesChanged updates what depends on the losses of a message. The mutex is held.
func (s *Service) lossesChanged(key Key) {
	s.updateRejected(key)
	s.signalChanged()
}

// clearLosses clears the losses of a message that completed or progressed and informs the other nodes. The mutex is
// held.
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

// reportLosses sends the losses of a message that this node knows to the message's loss keepers, which announce them to
// all nodes from minLossesForApart on. The mutex is held.
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

// announceIfApart announces the losses of a message to all nodes if they make it Apart. The mutex is held.
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

// isLossKeeper reports whether this node is a loss keeper of the message.
func isLossKeeper(view *membership.View, key Key) bool {
	return slices.ContainsFunc(lossKeepersOf(view, key), func(keeper membership.Member) bool { return keeper.ID == view.Self })
}

// joinLosses merges losses received from another node. The mutex is held.
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
