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
	// grantTerm is how long a grant holds without being renewed: its holder may have been killed, and the others wait.
	grantTerm = 1500 * time.Millisecond
	// renewInterval lets one renewal be lost without the grant lapsing.
	renewInterval = grantTerm / 3
	// givenBackKept is how long a run that was given back is remembered: what was sent before may come until then.
	givenBackKept = 10 * time.Second
)

// grant is a permission to run a suspected message once, given by its keeper.
type grant struct {
	run   uint64
	until time.Time
	// place is the replica at which the run is, as far as its holder has said, and since when; 0 where it has not.
	place      replica.Key
	placeSince time.Time
}

// keepers returns the living members that may keep a message, the first by rendezvous first.
func keepers(view *membership.View, key Key) []membership.Member {
	live := view.Live()
	weights := make(map[membership.NodeID]uint64, len(live))
	for _, member := range live {
		weights[member.ID] = weightOf(key, []byte(member.ID))
	}
	slices.SortFunc(live, func(one, other membership.Member) int { return -cmp.Compare(weights[one.ID], weights[other.ID]) })
	return live
}

// majority says that more than half of the known members are live.
func majority(view *membership.View) bool { return 2*len(view.Live()) > len(view.Members) }

// give answers a request for the one run of a suspected message.
func (s *Service) give(request *quarantinepb.GrantRequest, now time.Time) *quarantinepb.GrantResponse {
	key, valid := decodeKey(request.GetMessage())
	if !valid {
		return &quarantinepb.GrantResponse{Verdict: quarantinepb.Verdict_VERDICT_REJECTED}
	}
	s.join(request, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteLapse(key, now)
	return &quarantinepb.GrantResponse{Verdict: s.decide(key, request.GetRun(), replica.Key(request.GetReplica()), now), Incidents: s.book.of(key, now), Losses: s.book.losses.encode(key, now)}
}

// decide says whether a run may have the grant; place is the replica at which it is, 0 before it was sent. The mutex is held.
func (s *Service) decide(key Key, run uint64, place replica.Key, now time.Time) quarantinepb.Verdict {
	switch s.book.verdict(key) {
	case Allowed:
		return quarantinepb.Verdict_VERDICT_ALLOWED
	case Rejected:
		return quarantinepb.Verdict_VERDICT_REJECTED
	}
	if _, over := s.givenBack[run]; over {
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	held, given := s.grants[key]
	if given && held.run != run && now.Before(held.until) {
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	if s.book.lastRun(key) && !majority(s.viewer.View()) {
		// The other side of a cut may give its own last run.
		return quarantinepb.Verdict_VERDICT_BUSY
	}
	renewed := grant{run: run, until: now.Add(grantTerm), place: place, placeSince: now}
	if given && held.run == run && held.place == place {
		renewed.placeSince = held.placeSince
	}
	s.grants[key] = renewed
	return quarantinepb.Verdict_VERDICT_GRANTED
}

// noteLapse takes in a grant that was neither renewed nor given back: its holder is gone, or it or this node was paused, and nobody saw how the run
// ended. The replica says whether it has ended; only where nobody knows which one it was, that is assumed. The mutex is held.
func (s *Service) noteLapse(key Key, now time.Time) {
	held, given := s.grants[key]
	if !given || now.Before(held.until) {
		return
	}
	delete(s.grants, key)
	if s.book.verdict(key) != Apart {
		// It is not suspected any more, or rejected: its run is no longer renewed.
		return
	}
	if handle := s.handleOf(held.place); handle != nil {
		s.inquireIntoLapsed(&run{service: s, key: key, handle: handle, began: held.placeSince, granted: true, unseen: true})
		return
	}
	ended := cmp.Or(held.place, replica.Key(held.run))
	if s.book.add(ended, held.until, key, unseen(originLapsed)) {
		s.logger.Info().Stringer("digest", key).Msg("grant_lapsed")
		s.announce(ended, key)
		s.noteVerdict(key)
		s.signal()
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

// inquireIntoLapsed finds out whether the replica of a run has ended whose grant lapsed, at once and for as long as it may still work on it. The mutex is
// held.
func (s *Service) inquireIntoLapsed(lapsed *run) {
	if s.stopped {
		return
	}
	s.running.Go(func() {
		inquiry := s.inquire(lapsed.handle)
		<-inquiry.done
		s.logger.Info().Stringer("digest", lapsed.key).Str(logging.FieldReplica, lapsed.handle.Info().ID).Bool("replica_ended", inquiry.ended).Msg("grant_lapsed")
		if !inquiry.ended {
			s.leave(lapsed)
			return
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if inquiry.counted {
			s.suspect(lapsed, inquiry.at, inquiry.at.Sub(lapsed.began))
			s.signal()
		}
	})
}

// takeBack ends a grant and takes in what its run has shown.
func (s *Service) takeBack(request *quarantinepb.ReleaseRequest, now time.Time) {
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
	s.givenBack[request.GetRun()] = now
	if held, given := s.grants[key]; given && held.run == request.GetRun() {
		delete(s.grants, key)
		s.signal()
	}
}

// forgetGrants drops those that lapsed, and the runs that were given back, a while ago. The mutex is held.
func (s *Service) forgetGrants(now time.Time) {
	for key, each := range s.grants {
		if now.Sub(each.until) >= grantTerm {
			s.noteLapse(key, now)
			delete(s.grants, key)
		}
	}
	for run, at := range s.givenBack {
		if now.Sub(at) >= givenBackKept {
			delete(s.givenBack, run)
		}
	}
}

// keyBytes returns a key as it is sent between nodes.
func keyBytes(key Key) []byte { return key[:] }
