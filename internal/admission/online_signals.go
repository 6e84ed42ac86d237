package admission

import (
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
)

// onlineStarted counts an online request that is sent to a replica. Starts are batched for
// SignalFlush and then sent to the home nodes. It is called for each online request and does
// not block.
func (s *CreditService) onlineStarted(replica string) {
	if s.options.DisableOnlineSignals {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unsentStarts[replica]++
	if len(s.unsentStarts) == 1 && s.unsentStarts[replica] == 1 {
		s.flushTimer = time.AfterFunc(s.options.SignalFlush, s.flushOnlineStarts)
	}
}

// flushOnlineStarts sends the counted starts to the home nodes of their replicas.
func (s *CreditService) flushOnlineStarts() {
	s.mutex.Lock()
	signals := s.unsentStarts
	s.unsentStarts = make(map[string]int)
	s.mutex.Unlock()
	directory := s.fleet.Directory()
	byHome := make(map[string]*admissionpb.OnlineStarted)
	for id, count := range signals {
		replica := directory.Find(id)
		if replica == nil || replica.Home == "" {
			continue
		}
		home := string(replica.Home)
		message := byHome[home]
		if message == nil {
			message = &admissionpb.OnlineStarted{}
			byHome[home] = message
		}
		message.Counts = append(message.Counts, &admissionpb.ReplicaCount{Replica: id, Count: uint32(count)})
	}
	for home, message := range byHome {
		s.sendTo(home, methodOnlineStarted, message, onlineStartsReceived{started: message}, s.enqueue)
	}
}
