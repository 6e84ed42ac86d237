package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
)

// rejectsParts reports whether one of the parts keeps a message, or a batch item, from replicas. It returns the rejected
// parts that this node may test with it. The mutex is held.
func (s *Service) rejectsParts(parts []Key, item bool, now time.Time) (rejects bool, probes []Key) {
	for _, part := range parts {
		if s.evidence.verdict(part) != Rejected {
			continue
		}
		if !s.mayProbePart(part, item, now) {
			return true, nil
		}
		probes = append(probes, part)
	}
	return false, probes
}

// mayProbePart reports whether it is this node's turn to test a rejected part with a message, or with a batch item. The mutex
// is held.
func (s *Service) mayProbePart(part Key, item bool, now time.Time) bool {
	_, recalled := s.evidence.recalled[part]
	if s.probedParts[part] || recalled && !item {
		return false
	}
	probe, due := s.evidence.nextPartProbe(part, now)
	if !due || probe.failed >= maxPartProbes && !(item && s.partServiceStable(part, now)) {
		return false
	}
	view := s.viewer.View()
	next, found := partProber(view, part, probe.turn)
	return found && next == view.Self
}

// partProber returns the member whose turn it is to test a part. Every other turn is one of a member with a store: only these
// run batch items, and a part that items alone hold would wait for the turns of all others.
func partProber(view *membership.View, part Key, turn int) (prober membership.NodeID, found bool) {
	ranked := keepers(view, part)
	withStore, others := []membership.Member{}, []membership.Member{}
	for _, member := range ranked {
		if member.Store {
			withStore = append(withStore, member)
		} else {
			others = append(others, member)
		}
	}
	if len(withStore) > 0 && len(others) > 0 {
		ranked = others
		if turn%2 == 0 {
			ranked = withStore
		}
		turn /= 2
	}
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[turn%len(ranked)].ID, true
}

// checkWithParts returns the verdict on a message, or a batch item, with the given parts. The mutex is held.
func (s *Service) checkWithParts(key Key, parts []Key, item bool) Verdict {
	now := clock.Now()
	if rejects, _ := s.rejectsParts(parts, item, now); rejects {
		return Rejected
	}
	return s.verdictOf(key, item, now)
}

// verdictOf returns the verdict on a message, or on a batch item with it, whatever its parts are. The mutex is held.
func (s *Service) verdictOf(key Key, item bool, now time.Time) Verdict {
	if item {
		return s.evidence.itemVerdict(key, now)
	}
	return s.evidence.verdict(key)
}

// admitParts adds the parts of its prompt to an admitted message, or rejects it because of one of them.
func (s *Service) admitParts(admitted *permit, parts []Key, item bool) *permit {
	s.mutex.Lock()
	rejects, probes := s.rejectsParts(parts, item, clock.Now())
	if !rejects && admitted.verdict != Rejected {
		admitted.parts, admitted.probes = parts, probes
		for _, part := range probes {
			s.probedParts[part] = true
			s.logger.Info().Stringer("digest", part).Msg("prompt_part_probed")
		}
	}
	s.mutex.Unlock()
	if rejects {
		admitted.Release()
		return &permit{service: s, key: admitted.key, verdict: Rejected}
	}
	return admitted
}

// releaseProbes ends the tests of parts that a permit covers.
func (s *Service) releaseProbes(parts []Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, part := range parts {
		delete(s.probedParts, part)
	}
}

// suspectParts counts the end of a replica against the parts of a message whose answer had not begun there. The mutex is
// held.
func (s *Service) suspectParts(ended *run, endedAt time.Time) {
	if len(ended.parts) == 0 {
		return
	}
	end := s.evidence.incidentFor(ended.handle.Key(), endedAt, false)
	for position, part := range ended.parts {
		if s.evidence.addPart(end, part, partSuspectOf(ended.key, position)) {
			s.announce(end.replica, part)
			s.updateRejected(part)
		}
	}
	s.clearExplained(end)
}

// clearParts clears the parts of a message whose answer has begun, and takes back their recalled rejections. A part at a single end is left alone: it explains
// nothing, and parts that many messages share are at one end often.
func (s *Service) clearParts(parts []Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, part := range parts {
		s.clearRecalled(part)
		if s.evidence.openPartEnds[part] <= 1 {
			continue
		}
		for _, end := range s.evidence.clearPart(part) {
			s.announce(end.replica, part)
		}
		s.updateRejected(part)
		s.signalChanged()
	}
}

// clearExplained clears the messages that ran at a replica which a rejected part ended: those without the part were there
// by chance, and those with it are rejected because of it. The mutex is held.
func (s *Service) clearExplained(end *incident) {
	for part, suspected := range end.parts {
		if _, rejected := s.rejected[part]; suspected.cleared || !rejected {
			continue
		}
		for message, other := range end.suspects {
			if !other.cleared() {
				end.clear(message, entireAnswer)
				s.updateRejected(message)
			}
		}
		return
	}
}

// notePartRejected logs the rejection of a part, and clears the messages at the replicas that it ended. The mutex is held.
func (s *Service) notePartRejected(part Key) {
	open, explained, messages, span := s.evidence.evidenceOfPart(part)
	s.logger.Warn().Stringer("digest", part).Int("open", open).Int("ended", explained).Int("messages", messages).
		Dur("span", span).Msg("prompt_part_rejected")
	for end := range s.evidence.byPart[part] {
		s.clearExplained(end)
	}
}
