package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// calmWindow is the time over which the ends of replicas are counted: several times that in which most items come further than where an earlier run ended.
	calmWindow = 5 * time.Second
	// calmPart is the part of a service's replicas, as its inverse, that may end within calmWindow while the service counts as calm. Of fewer replicas none may.
	calmPart = 50
)

// calm says that at most one of calmPart replicas of a service, which has that many, ended within calmWindow. An end whose time was not seen by anybody is no
// sign of what goes on now.
func (b *book) calm(service string, replicas int, now time.Time) bool {
	ended := 0
	for _, each := range b.incidents {
		if each.mayConcern(service) && !each.timeAssumed && now.Sub(each.learned) < calmWindow {
			ended++
		}
	}
	return ended*calmPart <= replicas
}

// mayConcern says that the replica was one of the service, or that nobody said of which it was.
func (i *incident) mayConcern(service string) bool { return i.service == "" || i.service == service }

// noteService notes of which service a replica was that ended.
func (b *book) noteService(ended replica.Key, service string) {
	if known := b.incidents[ended]; known != nil && known.service == "" {
		known.service = service
	}
}

// Calm implements ItemRegister. A node that has just started does not know yet what ended before.
func (s *Service) Calm(service string) bool {
	now, replicas := clock.Now(), len(s.directory.View().Of(service))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.startedAt) >= calmWindow && s.book.calm(service, replicas, now)
}

// Counts implements ItemRegister.
func (s *Service) Counts(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.book.verdict(key) != Allowed || s.book.count(key) > 0
}

// Decides implements ItemRegister.
func (s *Service) Decides(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.book.verdict(key) == Apart && s.book.lastRun(key)
}
