package platform

import (
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
)

func (s *store) grant(timeToLive time.Duration) port.LeaseID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{
		timeToLive: timeToLive,
		deadline:   time.Now().Add(timeToLive),
		timer:      time.AfterFunc(timeToLive, func() { s.expire(id) }),
	}
	return id
}

func (s *store) keepAlive(id port.LeaseID) (time.Duration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, present := s.leases[id]
	if !present {
		return 0, port.KindLeaseNotFound.New("requested lease not found")
	}
	held.deadline = time.Now().Add(held.timeToLive)
	held.timer.Reset(held.timeToLive)
	return held.timeToLive, nil
}

func (s *store) revoke(id port.LeaseID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, present := s.leases[id]; !present {
		return port.KindLeaseNotFound.New("requested lease not found")
	}
	s.drop(id)
	return nil
}

// expire drops a lease whose deadline has passed. The timer may fire while the lease is being renewed; then expire does nothing.
func (s *store) expire(id port.LeaseID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, present := s.leases[id]
	if present && !time.Now().Before(held.deadline) {
		s.drop(id)
	}
}

// drop removes a lease and its keys at one revision. The caller holds mutex.
func (s *store) drop(id port.LeaseID) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var deletions []port.Change
	for key, entry := range s.entries {
		if entry.LeaseID == id {
			deletions = append(deletions, port.Change{Key: key, Delete: true})
		}
	}
	s.apply(deletions)
}

// stop stops the timers of all leases.
func (s *store) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.leases {
		held.timer.Stop()
	}
}
