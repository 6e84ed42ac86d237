package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// stableWindow is the time over which the ends of replicas are counted: several times that in which most items come further than where an earlier run ended.
	stableWindow = 5 * time.Second
	// stableReplicasPerEnd is the part of a service's replicas, as its inverse, that may end within calmWindow while the service counts as calm. Of fewer replicas none may.
	stableReplicasPerEnd = 50
)

// isStable says that at most one of calmPart replicas of a service, which has that many, ended within calmWindow. An end whose time was not seen by anybody is no
// sign of what goes on now.
func (e *evidenceStore) isStable(service string, replicas int, now time.Time) bool {
	ended := 0
	for _, end := range e.incidents {
		if end.mayConcern(service) && !end.timeAssumed && now.Sub(end.learnedAt) < stableWindow {
			ended++
		}
	}
	return ended*stableReplicasPerEnd <= replicas
}

// mayConcern says that the replica was one of the service, or that nobody said of which it was.
func (i *incident) mayConcern(service string) bool { return i.service == "" || i.service == service }

// setService notes of which service a replica was that ended.
func (e *evidenceStore) setService(ended replica.Key, service string) {
	if known := e.incidents[ended]; known != nil && known.service == "" {
		known.service = service
	}
}

// Calm implements ItemRegister. A node that has just started does not know yet what ended before.
func (s *Service) Calm(service string) bool {
	now, replicas := clock.Now(), len(s.directory.View().Of(service))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.startedAt) >= stableWindow && s.evidence.isStable(service, replicas, now)
}

// Counts implements ItemRegister.
func (s *Service) Counts(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.evidence.verdict(key) != Allowed || s.evidence.endCount(key) > 0
}

// Decides implements ItemRegister.
func (s *Service) Decides(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.evidence.verdict(key) == Apart && s.evidence.nextEndRejects(key)
}
