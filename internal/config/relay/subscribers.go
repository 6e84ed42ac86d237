package relay

import (
	"sync"

	"github.com/sloelift/sloelift/internal/config"
)

// subscribers holds the functions to call after a change. It is safe for concurrent use.
type subscribers struct {
	mutex sync.Mutex
	// last and byID are guarded by mutex.
	last uint64
	byID map[uint64]func(*config.Snapshot)
}

func (s *subscribers) add(notify func(*config.Snapshot)) (remove func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byID == nil {
		s.byID = make(map[uint64]func(*config.Snapshot))
	}
	s.last++
	id := s.last
	s.byID[id] = notify
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.byID, id)
	}
}

// notify calls all subscribers, without the lock, so that they may unsubscribe.
func (s *subscribers) notify(snapshot *config.Snapshot) {
	s.mutex.Lock()
	called := make([]func(*config.Snapshot), 0, len(s.byID))
	for _, one := range s.byID {
		called = append(called, one)
	}
	s.mutex.Unlock()
	for _, one := range called {
		one(snapshot)
	}
}
