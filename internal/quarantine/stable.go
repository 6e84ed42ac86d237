package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// stableWindow is the time over which ends of replicas are counted: several times that in which most items progress
	// past the point at which an earlier run ended.
	stableWindow = 5 * time.Second
	// stableReplicasPerEnd is the number of a service's replicas for each of which one end within stableWindow is
	// tolerated while the service counts as stable. With fewer replicas no end is tolerated.
	stableReplicasPerEnd = 50
)

// isStable reports whether at most one in stableReplicasPerEnd of a service's replicas ended within window. Ends whose
// time nobody observed are ignored: they say nothing about the present.
func (e *evidenceStore) isStable(service string, replicas int, window time.Duration, now time.Time) bool {
	ended := 0
	for _, end := range e.incidents {
		if end.mayConcern(service) && !end.timeAssumed && now.Sub(end.learnedAt) < window {
			ended++
		}
	}
	return ended*stableReplicasPerEnd <= replicas
}

// mayConcern reports whether the replica belonged to the service or its service is unknown.
func (i *incident) mayConcern(service string) bool { return i.service == "" || i.service == service }

// setService sets the service of an ended replica if it is not known yet.
func (e *evidenceStore) setService(ended replica.Key, service string) {
	if known := e.incidents[ended]; known != nil && known.service == "" {
		known.service = service
	}
}

// Stable implements ItemRegister.
func (s *Service) Stable(service string) bool { return s.stableFor(service, stableWindow) }

// stableFor reports whether a service was stable for the given time. It reports false for as long after the start of this
// node, which may not know yet which replicas ended before.
func (s *Service) stableFor(service string, window time.Duration) bool {
	now, replicas := clock.Now(), len(s.directory.View().ForService(service))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.startedAt) >= window && s.evidence.isStable(service, replicas, window, now)
}

// HasEvidence implements ItemRegister.
func (s *Service) HasEvidence(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.evidence.verdict(key) != Allowed || s.evidence.endCount(key) > 0
}

// NextEndRejects implements ItemRegister.
func (s *Service) NextEndRejects(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.markItem(key)
	if s.evidence.verdict(key) == Rejected {
		return s.evidence.itemVerdict(key, clock.Now()) == Apart
	}
	return s.evidence.nextRunDecides(key)
}
