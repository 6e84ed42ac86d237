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
	// noticeInterval is the least time between two notices of one node; what is learned meanwhile is sent with the
	// next.
	noticeInterval = 10 * time.Millisecond
	// repeatDelay is the time after which a notice is sent once more, since one-way messages may be lost.
	repeatDelay = 250 * time.Millisecond
	// refreshInterval is how often a node that has any evidence sends all of it to one other node, so that nodes that
	// were partitioned or started meanwhile learn of it.
	refreshInterval = 2 * time.Second
	// askedPeers is the number of nodes that a starting node asks for their evidence in each round. The pause between
	// rounds is fastAskInterval until fastAskTime has passed, then askInterval until askTime has passed, then
	// refreshInterval.
	askedPeers  = 3
	askInterval = 200 * time.Millisecond
	// peerPollInterval is how often a node that knows no other member checks for one.
	peerPollInterval = 10 * time.Millisecond
	// askTimeout is the timeout for the answer of one node.
	askTimeout      = 300 * time.Millisecond
	fastAskTime     = 500 * time.Millisecond
	fastAskInterval = 50 * time.Millisecond
	askTime         = 5 * time.Second
)

// announce queues a message of an incident, or its losses with noReplica, for the next notice to the other nodes. The
// mutex is held.
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

// share sends new evidence to the other nodes: in a notice soon after it is learned and in the same notice again after
// repeatDelay. Each refreshInterval it sends all evidence to one node. When the service stops, it sends what is still
// queued and its aborted runs: nobody else may have observed them.
func (s *Service) share() {
	defer func() { s.sendAll(s.noticeAtStop(clock.Now())) }()
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

// takeOutbox empties the outbox and returns its notice. It keeps the content for the repeated notice.
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

// takeRepeats returns the notice that repeats what was sent once.
func (s *Service) takeRepeats(now time.Time) *quarantinepb.Notice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	notice := s.noticeOf(s.repeats, now)
	clear(s.repeats)
	return notice
}

// noticeOf returns a notice with the evidence on the queued messages. The mutex is held.
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
			if part := end.parts[key]; part != nil {
				encoded.Parts = append(encoded.Parts, encodePart(key, part))
			}
		}
		notice.Incidents = append(notice.Incidents, encoded)
	}
	return notice
}

// sendAll sends a notice to all other nodes that are not dead; an empty one is not sent.
func (s *Service) sendAll(notice *quarantinepb.Notice) {
	if len(notice.Incidents)+len(notice.Losses)+len(notice.AbortedRuns) == 0 {
		return
	}
	view := s.viewer.View()
	for _, member := range view.Members {
		if member.ID != view.Self && member.State != membership.Dead {
			s.send(member.PeerAddress, notice)
		}
	}
}

// send sends a notice to one node. The repeated notice and refresh make up for a lost one.
func (s *Service) send(to netip.AddrPort, notice *quarantinepb.Notice) {
	s.metrics.notices.Inc()
	if err := s.caller.Send(to, methodNotice, notice); err != nil {
		s.logger.Debug().Err(err).Stringer(logging.FieldPeer, to).Msg("notice_not_sent")
	}
}

// refresh drops expired evidence and sends the rest to one other node.
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

// shuffledPeers returns the live members except this node, in random order.
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

// askPeers asks a few nodes for their evidence until this node knows which messages were rejected before its start. It
// may have restarted after observing ends of replicas, alone or together with all other nodes.
func (s *Service) askPeers() {
	s.awaitPeers()
	for startedAt := clock.Now(); ; {
		askedFor := clock.Since(startedAt)
		if askedFor >= askTime && s.store == nil {
			return
		}
		peers := s.shuffledPeers()
		for _, peer := range peers[:min(askedPeers, len(peers))] {
			s.askPeer(peer.PeerAddress)
		}
		if !s.isComplete() && s.shouldReadRecords(askedFor) {
			s.readRecords()
		}
		if s.isComplete() {
			return
		}
		if !pause.Sleep(s.ctx, askPause(askedFor)) {
			return
		}
	}
}

// askPause returns the pause before other nodes are asked again. It is short at first: callers arrive as soon as a node
// has started, and the other nodes may have started with it.
func askPause(askedFor time.Duration) time.Duration {
	switch {
	case askedFor < fastAskTime:
		return fastAskInterval
	case askedFor < askTime:
		return askInterval
	default:
		return refreshInterval
	}
}

// awaitPeers waits until another member is known, for at most askInterval: a node that has just started knows none, and
// callers arrive at once.
func (s *Service) awaitPeers() {
	for startedAt := clock.Now(); clock.Since(startedAt) < askInterval && s.ctx.Err() == nil; {
		if len(s.shuffledPeers()) > 0 || !pause.Sleep(s.ctx, peerPollInterval) {
			return
		}
	}
}

// isComplete reports whether this node knows the messages that were rejected before all nodes were killed.
func (s *Service) isComplete() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.complete
}

// askPeer merges the evidence of one node.
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
