package quarantine

import (
	"cmp"
	"slices"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// grantDuration is how long a grant holds without being renewed: its holder may have been killed, and the others wait.
	grantDuration = 1500 * time.Millisecond
	// renewInterval lets one renewal be lost without the grant lapsing.
	renewInterval = grantDuration / 3
	// releasedRunRetention is how long a run that was given back is remembered: what was sent before may come until then.
	releasedRunRetention = 10 * time.Second
)

// grant is a permission to run a suspected message once, given by its keeper.
type grant struct {
	run   uint64
	until time.Time
	// replicaKey is the replica at which the run is, as far as its holder has said, and since when; 0 where it has not.
	replicaKey   replica.Key
	replicaSince time.Time
}

// keepers returns the living members that may keep a message, the first by rendezvous first.
func keepers(view *membership.View, key Key) []membership.Member {
	live := view.Live()
	weights := make(map[membership.NodeID]uint64, len(live))
	for _, member := range live {
		weights[member.ID] = rendezvousWeight(key, []byte(member.ID))
	}
	slices.SortFunc(live, func(one, other membership.Member) int { return -cmp.Compare(weights[one.ID], weights[other.ID]) })
	return live
}

// hasLiveMajority says that more than half of the known members are live.
func hasLiveMajority(view *membership.View) bool { return 2*len(view.Live()) > len(view.Members) }

// handleGrant answers a request for the one run of a suspected message.
func (s *Service) handleGrant(request *quarantinepb.GrantRequest, now time.Time) *quarantinepb.GrantResponse {
	key, valid := decodeKey(request.GetMessage())
	if !valid {
		return &quarantinepb.GrantResponse{Verdict: quarantinepb.Verdict_VERDICT_REJECTED}
	}
	s.join(request, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handleLapse(key, now)
	return &quarantinepb.GrantResponse{Verdict: s.decideGrant(key, request.GetRun(), replica.Key(request.GetReplica()), now), Incidents: s.evidence.encodeIncidents(key, now), Losses: s.evidence.losses.encode(key, now)}
}

// decideGrant says whether a run may have the grant; place is the replica at which it is, 0 before it was sent. The mutex is held.
func (s *Service) decideGrant(key Key, run uint64, place replica.Key, now time.Time) quarantinepb.Verdict {
	switch s.evidence.verdict(key) {
	case Allowed:
		return quarantinepb.Verdict_VERDICT_ALLOWED
	case Rejected:
		return quarantinepb.Verdict_VERDICT_REJECTED
	}
	if _, released := s.releasedRuns[run]; released {
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	held, given := s.grants[key]
	if given && held.run != run && now.Before(held.until) {
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	if s.evidence.nextEndRejects(key) && !hasLiveMajority(s.viewer.View()) {
		// The other side of a cut may give its own last run.
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	renewed := grant{run: run, until: now.Add(grantDuration), replicaKey: place, replicaSince: now}
	if given && held.run == run && held.replicaKey == place {
		renewed.replicaSince = held.replicaSince
	}
	s.grants[key] = renewed
	return quarantinepb.Verdict_VERDICT_GRANTED
}

// handleLapse takes in a grant that was neither renewed nor given back: its holder is gone, or it or this node was paused, and nobody saw how the run
// ended. The replica says whether it has ended; only where nobody knows which one it was, that is assumed. The mutex is held.
func (s *Service) handleLapse(key Key, now time.Time) {
	held, given := s.grants[key]
	if !given || now.Before(held.until) {
		return
	}
	delete(s.grants, key)
	if s.evidence.verdict(key) != Apart {
		// It is not suspected any more, or rejected: its run is no longer renewed.
		return
	}
	if handle := s.handleOf(held.replicaKey); handle != nil {
		s.inquireAfterLapse(&run{service: s, key: key, handle: handle, startedAt: held.replicaSince, granted: true, unseen: true})
		return
	}
	ended := cmp.Or(held.replicaKey, replica.Key(held.run))
	if s.evidence.add(ended, held.until, key, unseenSuspect(originLapsed)) {
		s.logger.Info().Stringer("digest", key).Msg("grant_lapsed")
		s.announce(ended, key)
		s.updateRejected(key)
		s.signalChanged()
	}
}

// handleOf returns the replica of that key; nil where none is registered.
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

// inquireAfterLapse finds out whether the replica of a run has ended whose grant lapsed, at once and for as long as it may still work on it. The mutex is
// held.
func (s *Service) inquireAfterLapse(lapsed *run) {
	if s.stopped {
		return
	}
	s.running.Go(func() {
		inquiry := s.inquire(lapsed.handle)
		<-inquiry.done
		s.logger.Info().Stringer("digest", lapsed.key).Str(logging.FieldReplica, lapsed.handle.Info().ID).Bool("replica_ended", inquiry.ended).Msg("grant_lapsed")
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

// handleRelease ends a grant and takes in what its run has shown.
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
	// It may come before the request for the grant, which must give nothing then: nobody would hold it, and its lapse would count as an end.
	s.releasedRuns[request.GetRun()] = now
	if held, given := s.grants[key]; given && held.run == request.GetRun() {
		delete(s.grants, key)
		s.signalChanged()
	}
}

// expireGrants drops those that lapsed, and the runs that were given back, a while ago. The mutex is held.
func (s *Service) expireGrants(now time.Time) {
	for key, held := range s.grants {
		if now.Sub(held.until) >= grantDuration {
			s.handleLapse(key, now)
			delete(s.grants, key)
		}
	}
	for run, releasedAt := range s.releasedRuns {
		if now.Sub(releasedAt) >= releasedRunRetention {
			delete(s.releasedRuns, run)
		}
	}
}

// keyBytes returns a key as it is sent between nodes.
func keyBytes(key Key) []byte { return key[:] }
