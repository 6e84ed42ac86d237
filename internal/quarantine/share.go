package quarantine

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// noticeInterval is the least time between two notices of one node: what is learned meanwhile goes with the next.
	noticeInterval = 10 * time.Millisecond
	// repeatDelay is when a notice is sent once more, since one-way messages may be lost.
	repeatDelay = 250 * time.Millisecond
	// refreshInterval is how often a node with anything in its book sends all of it to one other, so that nodes that were cut off or
	// started meanwhile come to know it.
	refreshInterval = 2 * time.Second
	// askedPeers is the number of nodes that a starting node asks, askTimeout the wait for one. The pause between rounds is askSoonInterval at first,
	// askInterval from askSoon on, and refreshInterval from askLongest on.
	askedPeers  = 3
	askInterval = 200 * time.Millisecond
	// peerPollInterval is how often a node that knows no other looks for one.
	peerPollInterval = 10 * time.Millisecond
	askTimeout       = 300 * time.Millisecond
	fastAskTime      = 500 * time.Millisecond
	fastAskInterval  = 50 * time.Millisecond
	askTime          = 5 * time.Second
)

// announce queues a message of an incident for the next notice to the other nodes. The mutex is held.
func (s *Service) announce(ended replica.Key, key Key) {
	queueMessage(s.outbox, ended, key)
	subscription.Signal(s.outboxChanged)
}

// queueMessage adds a message of an incident to outbox.
func queueMessage(outbox map[replica.Key]map[Key]bool, ended replica.Key, key Key) {
	if outbox[ended] == nil {
		outbox[ended] = map[Key]bool{}
	}
	outbox[ended][key] = true
}

// share sends the other nodes what this node learns: in a notice soon after, in the same notice once more after repeatAfter, and the whole
// book to one of them each refreshInterval.
func (s *Service) share() {
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	repeat := time.NewTimer(repeatDelay)
	defer repeat.Stop()
	for {
		select {
		case <-s.outboxChanged:
			s.sendAll(s.takeOutbox(clock.Now()))
			repeat.Reset(repeatDelay)
			select {
			case <-time.After(noticeInterval):
			case <-s.ctx.Done():
				return
			}
		case <-repeat.C:
			s.sendAll(s.takeRepeats(clock.Now()))
		case <-refresh.C:
			s.refresh(clock.Now())
		case <-s.ctx.Done():
			return
		}
	}
}

// takeOutbox returns the notice of what was not sent yet, and keeps its content for the repeated one.
func (s *Service) takeOutbox(now time.Time) *quarantinepb.Notice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	notice := s.noticeOf(s.outbox, now)
	for ended, keys := range s.outbox {
		for key := range keys {
			queueMessage(s.repeats, ended, key)
		}
	}
	clear(s.outbox)
	return notice
}

// takeRepeats returns the notice of what was sent once.
func (s *Service) takeRepeats(now time.Time) *quarantinepb.Notice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	notice := s.noticeOf(s.repeats, now)
	clear(s.repeats)
	return notice
}

// noticeOf returns what the book has of the given messages. The mutex is held.
func (s *Service) noticeOf(queued map[replica.Key]map[Key]bool, now time.Time) *quarantinepb.Notice {
	notice := &quarantinepb.Notice{}
	for ended, keys := range queued {
		if ended == noReplica {
			for key := range keys {
				notice.Losses = append(notice.Losses, s.evidence.losses.encode(key, now)...)
			}
			continue
		}
		end := s.evidence.incidents[ended]
		if end == nil {
			continue
		}
		encoded := encodeIncidentHead(end, now)
		for key := range keys {
			if suspected := end.suspects[key]; suspected != nil {
				encoded.Suspects = append(encoded.Suspects, encodeSuspect(key, suspected))
			}
		}
		notice.Incidents = append(notice.Incidents, encoded)
	}
	return notice
}

// sendAll queues a notice for all other nodes.
func (s *Service) sendAll(notice *quarantinepb.Notice) {
	if len(notice.Incidents)+len(notice.Losses) == 0 {
		return
	}
	view := s.viewer.View()
	for _, member := range view.Members {
		if member.ID != view.Self && member.State != membership.Dead {
			s.send(member.PeerAddress, notice)
		}
	}
}

// send queues a notice for one node. One that is lost is made up for by the repeated notice and by refresh.
func (s *Service) send(to netip.AddrPort, notice *quarantinepb.Notice) {
	s.metrics.notices.Inc()
	if err := s.caller.Send(to, methodNotice, notice); err != nil {
		s.logger.Debug().Err(err).Stringer(logging.FieldPeer, to).Msg("notice_not_sent")
	}
}

// refresh forgets what is old and sends the rest to one other node.
func (s *Service) refresh(now time.Time) {
	s.mutex.Lock()
	s.evidence.expire(now)
	s.expireInquiries(now)
	s.expireGrants(now)
	for key := range s.rejected {
		s.updateRejected(key)
	}
	s.metrics.setMessages(s.evidence.verdictCounts())
	notice := &quarantinepb.Notice{Incidents: s.evidence.encodeAll(now), Losses: s.evidence.losses.encodeApart(now)}
	s.mutex.Unlock()
	if len(notice.Incidents)+len(notice.Losses) == 0 {
		return
	}
	peers := s.shuffledPeers()
	if len(peers) > 0 {
		s.send(peers[0].PeerAddress, notice)
	}
}

// shuffledPeers returns the living members without this node, in random order.
func (s *Service) shuffledPeers() []membership.Member {
	view := s.viewer.View()
	var found []membership.Member
	for _, member := range view.Live() {
		if member.ID != view.Self {
			found = append(found, member)
		}
	}
	rand.Shuffle(len(found), func(one, other int) { found[one], found[other] = found[other], found[one] })
	return found
}

// askPeers asks a few nodes for their books, until this node knows what was rejected before its start: it may have been started again after it
// had seen replicas end, alone or together with all others.
func (s *Service) askPeers() {
	s.awaitPeers()
	for startedAt := clock.Now(); ; {
		asked := clock.Since(startedAt)
		if asked >= askTime && s.store == nil {
			return
		}
		peers := s.shuffledPeers()
		for _, peer := range peers[:min(askedPeers, len(peers))] {
			s.askPeer(peer.PeerAddress)
		}
		if !s.isComplete() && s.shouldReadRecords(asked) {
			s.readRecords()
		}
		if s.isComplete() {
			return
		}
		if !pause.Sleep(s.ctx, askPause(asked)) {
			return
		}
	}
}

// askPause returns the pause before others are asked again. Callers come to a node as soon as it has started, and the others may have started with it.
func askPause(asked time.Duration) time.Duration {
	switch {
	case asked < fastAskTime:
		return fastAskInterval
	case asked < askTime:
		return askInterval
	default:
		return refreshInterval
	}
}

// awaitPeers waits until another member is known, for askInterval at most: a node that has just started knows none, and callers come at once.
func (s *Service) awaitPeers() {
	for startedAt := clock.Now(); clock.Since(startedAt) < askInterval && s.ctx.Err() == nil; {
		if len(s.shuffledPeers()) > 0 || !pause.Sleep(s.ctx, peerPollInterval) {
			return
		}
	}
}

// isComplete says that this node knows the messages that were rejected before all nodes were killed.
func (s *Service) isComplete() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.complete
}

// askPeer takes in the book of one node.
func (s *Service) askPeer(address netip.AddrPort) {
	bounded, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	var response quarantinepb.ListResponse
	if err := s.caller.Call(bounded, address, methodList, &quarantinepb.ListRequest{}, &response); err != nil {
		s.logger.Debug().Err(err).Stringer(logging.FieldPeer, address).Msg("incidents_not_listed")
		return
	}
	now := clock.Now()
	s.join(&response, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recallRejected(response.GetRejected(), now)
	s.complete = s.complete || response.GetComplete()
}
