package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// grantDuration is how long a grant holds without renewal. Its holder may have been killed, and other runs wait for
	// it.
	grantDuration = 1500 * time.Millisecond
	// renewInterval allows one renewal to be lost before the grant lapses.
	renewInterval = grantDuration / 3
	// releasedRunRetention is how long a released run is remembered: requests sent before the release may arrive until
	// then.
	releasedRunRetention = 10 * time.Second
	// requestedRunRetention is how long a node remembers a run after it last asked for its grant: longer than a keeper
	// is paused before it reports the lapse.
	requestedRunRetention = time.Minute
)

// grant is the permission that a keeper gave to run a suspected message once.
type grant struct {
	run   uint64
	until time.Time
	// replicaKey is the replica at which the run is, and replicaSince the time from which it was reported there; 0 if
	// the holder has not reported one.
	replicaKey   replica.Key
	replicaSince time.Time
	// retry reports that the message was rejected when the grant was given.
	retry bool
}

// keepers returns the live members in the order in which they may keep a message, by rendezvous hashing.
func keepers(view *membership.View, key Key) []membership.Member {
	live := view.Live()
	weights := make(map[membership.NodeID]uint64, len(live))
	for _, member := range live {
		weights[member.ID] = rendezvousWeight(key, []byte(member.ID))
	}
	slices.SortFunc(live, func(one, other membership.Member) int { return -cmp.Compare(weights[one.ID], weights[other.ID]) })
	return live
}

// hasLiveMajority reports whether more than half of the known members are live.
func hasLiveMajority(view *membership.View) bool { return 2*len(view.Live()) > len(view.Members) }

// handleGrant answers a request for the grant of a run, or for its renewal.
func (s *Service) handleGrant(request *quarantinepb.GrantRequest, now time.Time) *quarantinepb.GrantResponse {
	key, valid := decodeKey(request.GetMessage())
	if !valid {
		return &quarantinepb.GrantResponse{Verdict: quarantinepb.Verdict_VERDICT_REJECTED}
	}
	s.join(request, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handleLapse(key, now)
	return &quarantinepb.GrantResponse{
		Verdict:   s.decideGrant(key, request, now),
		Incidents: s.evidence.encodeIncidents(key, now),
		Losses:    s.evidence.losses.encode(key, now),
	}
}

// decideGrant returns the answer to a request for a grant. A rejected message is granted to a batch item once it may be
// retried. The mutex is held.
func (s *Service) decideGrant(key Key, request *quarantinepb.GrantRequest, now time.Time) quarantinepb.Verdict {
	run, replicaKey := request.GetRun(), replica.Key(request.GetReplica())
	held, exists := s.grants[key]
	retry := s.evidence.verdict(key) == Rejected
	renewsRetry := exists && held.run == run && held.retry
	switch s.verdictOf(key, request.GetItem(), now) {
	case Allowed:
		return quarantinepb.Verdict_VERDICT_ALLOWED
	case Rejected:
		if !renewsRetry {
			return quarantinepb.Verdict_VERDICT_REJECTED
		}
	}
	if _, released := s.releasedRuns[run]; released {
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	if exists && held.run != run && now.Before(held.until) {
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	if (retry || s.evidence.nextEndRejects(key)) && !hasLiveMajority(s.viewer.View()) {
		// On the other side of a partition the last run may be granted as well.
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	renewed := grant{run: run, until: now.Add(grantDuration), replicaKey: replicaKey, replicaSince: now, retry: retry}
	if exists && held.run == run && held.replicaKey == replicaKey {
		renewed.replicaSince = held.replicaSince
	}
	s.grants[key] = renewed
	return quarantinepb.Verdict_VERDICT_GRANTED
}

// handleLapse handles a grant that was neither renewed nor released in time: its holder is gone, or the holder or this
// node was paused, and nobody observed how the run ended. An inquiry into the replica shows whether it ended; that is
// assumed only if the replica is unknown. The mutex is held.
func (s *Service) handleLapse(key Key, now time.Time) {
	held, exists := s.grants[key]
	if !exists || now.Before(held.until) {
		return
	}
	delete(s.grants, key)
	if verdict := s.evidence.verdict(key); verdict == Allowed || verdict == Rejected && !held.retry {
		// The message is no longer suspected, or was rejected meanwhile: the grants of its runs are no longer renewed.
		return
	}
	if handle := s.handleOf(held.replicaKey); handle != nil {
		s.inquireAfterLapse(&run{service: s, key: key, handle: handle, startedAt: held.replicaSince, granted: true, unseen: true, retry: held.retry})
		return
	}
	if _, own := s.requestedRuns[held.run]; own {
		// This node holds the grant itself and was paused. The run reports how it ends.
		return
	}
	ended := cmp.Or(held.replicaKey, replica.Key(held.run))
	lapsed := unseenSuspect(originLapsed)
	lapsed.retry = held.retry
	if s.evidence.add(ended, held.until, key, lapsed) {
		s.logger.Info().Stringer("digest", key).Msg("grant_lapsed")
		s.announce(ended, key)
		s.updateRejected(key)
		s.signalChanged()
	}
}

// handleOf returns the registered replica with the given key, or nil.
func (s *Service) handleOf(key replica.Key) *replica.Handle {
	if key == 0 {
		return nil
	}
	for handle := range s.directory.View().All() {
		if handle.Key() == key {
			return handle
		}
	}
	return nil
}

// inquireAfterLapse inquires whether the replica of a run whose grant lapsed has ended: at once, and then for as long
// as the replica may still work on the run. The mutex is held.
func (s *Service) inquireAfterLapse(lapsed *run) {
	if s.stopped {
		return
	}
	s.running.Go(func() {
		inquiry := s.inquire(lapsed.handle)
		<-inquiry.done
		s.logger.Info().Stringer("digest", lapsed.key).Str(logging.FieldReplica, lapsed.handle.Info().ID).
			Bool("replica_ended", inquiry.ended).Msg("grant_lapsed")
		if !inquiry.ended {
			s.trackAborted(lapsed)
			return
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if inquiry.counted {
			s.suspect(lapsed, inquiry.at, inquiry.at.Sub(lapsed.startedAt))
			s.signalChanged()
		}
	})
}

// clearOwnLapses clears the incidents that stand for a lapsed grant of this node: a keeper that does not know the replica
// of the run, or does not ask for it, reports the lapse as the end of a replica whose key is the number of the run. The
// run itself reports how it ended. The mutex is held.
func (s *Service) clearOwnLapses(incidents []*quarantinepb.Incident) {
	for _, received := range incidents {
		if _, own := s.requestedRuns[received.GetReplica()]; !own {
			continue
		}
		lapse := s.evidence.incidents[replica.Key(received.GetReplica())]
		if lapse == nil {
			continue
		}
		for message, suspected := range lapse.suspects {
			if suspected.cleared() {
				continue
			}
			lapse.clear(message, entireAnswer)
			s.logger.Info().Stringer("digest", message).Msg("lapse_cleared")
			s.announce(lapse.replica, message)
		}
	}
}

// handleRelease ends a grant and merges the evidence that its holder sends.
func (s *Service) handleRelease(request *quarantinepb.ReleaseRequest, now time.Time) {
	key, valid := decodeKey(request.GetMessage())
	if !valid {
		return
	}
	s.join(request, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.GetRun() == 0 {
		return
	}
	// The release may arrive before the request for the grant. That request must not be granted then: nobody would hold
	// the grant, and its lapse would count as the end of a replica.
	s.releasedRuns[request.GetRun()] = now
	if held, exists := s.grants[key]; exists && held.run == request.GetRun() {
		delete(s.grants, key)
		s.signalChanged()
	}
}

// expireGrants drops the grants that lapsed at least grantDuration ago, and the released and requested runs that are
// older than their retention. The mutex is held.
func (s *Service) expireGrants(now time.Time) {
	for key, held := range s.grants {
		if now.Sub(held.until) >= grantDuration {
			s.handleLapse(key, now)
			delete(s.grants, key)
		}
	}
	maps.DeleteFunc(s.releasedRuns, func(_ uint64, releasedAt time.Time) bool { return now.Sub(releasedAt) >= releasedRunRetention })
	maps.DeleteFunc(s.requestedRuns, func(_ uint64, requestedAt time.Time) bool { return now.Sub(requestedAt) >= requestedRunRetention })
}

// keyBytes returns the wire form of a key.
func keyBytes(key Key) []byte { return key[:] }
