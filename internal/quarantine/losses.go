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
	// mostUnfinished bounds the ended replicas and the losses of one message together: whether each end was recognized makes no difference.
	mostUnfinished = 2 * mostEnded
	// lossesApart is the number of losses from which on a message runs apart. One connection is lost by chance.
	lossesApart = 2
	// maxLossMessages bounds the messages whose losses are remembered, maxLosses those of one message: a popular one loses connections, and comes to
	// its end, all the time.
	maxLossMessages = 1024
	maxLosses       = 4 * mostUnfinished
	// lossKeepers is the number of nodes, by rank, to which a loss is reported: the keeper may be down.
	lossKeepers = 2
)

// noReplica stands in the outbox for the losses of a message.
const noReplica replica.Key = 0

// loss is a run whose connection ended without a whole answer while its replica was not found to have ended.
type loss struct {
	at      time.Time
	cleared bool
}

// losses are those of all messages, by the number of the run. They are joined like incidents, in any order. It is not safe for concurrent use.
type losses map[Key]map[uint64]*loss

// add joins one loss; it returns whether anything is new.
func (l losses) add(message Key, run uint64, joined loss) bool {
	if l[message] == nil {
		l.makeRoom()
		l[message] = map[uint64]*loss{}
	}
	known := l[message][run]
	switch {
	case known == nil:
		l.forgetCleared(message)
		if len(l[message]) >= maxLosses {
			return false
		}
		l[message][run] = &joined
		return true
	case joined.cleared && !known.cleared:
		known.cleared = true
		return true
	default:
		return false
	}
}

// forgetCleared drops the oldest cleared loss of a message that has too many.
func (l losses) forgetCleared(message Key) {
	if len(l[message]) < maxLosses {
		return
	}
	dropped, found := uint64(0), false
	for run, each := range l[message] {
		if each.cleared && (!found || each.at.Before(l[message][dropped].at)) {
			dropped, found = run, true
		}
	}
	if found {
		delete(l[message], dropped)
	}
}

// open counts the losses of a message since which it has neither come to its end nor further.
func (l losses) open(message Key) int {
	count := 0
	for _, each := range l[message] {
		if !each.cleared {
			count++
		}
	}
	return count
}

// clear notes that the message came to its end or further; it returns whether it had losses.
func (l losses) clear(message Key) bool {
	cleared := false
	for _, each := range l[message] {
		cleared = cleared || !each.cleared
		each.cleared = true
	}
	return cleared
}

// forget drops the losses that are older than remember.
func (l losses) forget(now time.Time) {
	for message, runs := range l {
		for run, each := range runs {
			if now.Sub(each.at) >= remember {
				delete(runs, run)
			}
		}
		if len(runs) == 0 {
			delete(l, message)
		}
	}
}

// makeRoom drops the message with the fewest open losses, the oldest of them, where there are too many.
func (l losses) makeRoom() {
	if len(l) < maxLossMessages {
		return
	}
	var dropped Key
	var fewest int
	var oldest time.Time
	for message := range l {
		count, newest := l.open(message), l.newest(message)
		if oldest.IsZero() || count < fewest || count == fewest && newest.Before(oldest) {
			dropped, fewest, oldest = message, count, newest
		}
	}
	delete(l, dropped)
}

func (l losses) newest(message Key) time.Time {
	var newest time.Time
	for _, each := range l[message] {
		if each.at.After(newest) {
			newest = each.at
		}
	}
	return newest
}

// encode returns the losses of a message as they are sent.
func (l losses) encode(message Key, now time.Time) []*quarantinepb.Loss {
	var encoded []*quarantinepb.Loss
	for run, each := range l[message] {
		encoded = append(encoded, &quarantinepb.Loss{Message: message[:], Run: run, AgeMillis: uint64(max(0, now.Sub(each.at)).Milliseconds()), Cleared: each.cleared})
	}
	return encoded
}

// all returns the losses of all messages that run apart by them.
func (l losses) all(now time.Time) []*quarantinepb.Loss {
	var encoded []*quarantinepb.Loss
	for message, runs := range l {
		if len(runs) >= lossesApart {
			encoded = append(encoded, l.encode(message, now)...)
		}
	}
	return encoded
}

// join takes in losses that another node knows of; it returns the messages of which something is new.
func (l losses) join(encoded []*quarantinepb.Loss, now time.Time) []Key {
	var changed []Key
	for _, each := range encoded {
		age := time.Duration(min(each.GetAgeMillis(), uint64(remember.Milliseconds()))) * time.Millisecond
		key, valid := decodeKey(each.GetMessage())
		if valid && age < remember && l.add(key, each.GetRun(), loss{at: now.Add(-age), cleared: each.GetCleared()}) {
			changed = append(changed, key)
		}
	}
	return changed
}

// noteLoss counts a lost run whose replica was not found to have ended. The mutex is held.
func (s *Service) noteLoss(of *run) {
	now := clock.Now()
	s.book.losses.add(of.key, rand.Uint64(), loss{at: now})
	s.metrics.losses.Inc()
	s.lossesChanged(of.key)
	s.reportLosses(of.key, now)
}

// lossesChanged takes in what follows from the losses of a message. The mutex is held.
func (s *Service) lossesChanged(key Key) {
	s.noteVerdict(key)
	s.signal()
}

// clearLosses notes that a message came to its end or further. The mutex is held.
func (s *Service) clearLosses(key Key) {
	apart := s.book.losses.open(key) >= lossesApart
	if !s.book.losses.clear(key) {
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
	notice := &quarantinepb.Notice{Losses: s.book.losses.encode(key, now)}
	for _, keeper := range keepersOfLosses(view, key) {
		if keeper.ID == view.Self {
			s.announceIfApart(key)
			continue
		}
		s.send(keeper.PeerAddress, notice)
	}
}

// announceIfApart has all nodes learn of a message that runs apart by its losses. The mutex is held.
func (s *Service) announceIfApart(key Key) {
	if s.book.losses.open(key) >= lossesApart {
		s.announceLosses(key)
	}
}

// keepersOfLosses returns the members to which the losses of a message are reported.
func keepersOfLosses(view *membership.View, key Key) []membership.Member {
	ranked := keepers(view, key)
	return ranked[:min(lossKeepers, len(ranked))]
}

// keepsLosses says that this node is one of them.
func keepsLosses(view *membership.View, key Key) bool {
	return slices.ContainsFunc(keepersOfLosses(view, key), func(keeper membership.Member) bool { return keeper.ID == view.Self })
}

// joinLosses takes in losses that another node knows of. The mutex is held.
func (s *Service) joinLosses(encoded []*quarantinepb.Loss, now time.Time) {
	for _, key := range s.book.losses.join(encoded, now) {
		s.lossesChanged(key)
		if keepsLosses(s.viewer.View(), key) {
			s.announceIfApart(key)
		}
	}
}

// announceLosses queues the losses of a message for the next notice to the other nodes. The mutex is held.
func (s *Service) announceLosses(key Key) {
	s.announce(noReplica, key)
}
