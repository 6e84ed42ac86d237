package admission

import (
	"time"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
)

// onlineStarted notes that an online request goes to a replica. Those of a short while
// are gathered and the home nodes told. It is called by traffic and doesn't wait.
func (s *CreditService) onlineStarted(replica string) {
	if s.options.DisableOnlineSignals {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.signals[replica]++
	if len(s.signals) == 1 && s.signals[replica] == 1 {
		s.flush = time.AfterFunc(s.options.SignalFlush, s.flushSignals)
	}
}

// flushSignals sends what was gathered.
func (s *CreditService) flushSignals() {
	s.mutex.Lock()
	signals := s.signals
	s.signals = make(map[string]int)
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
		s.sendTo(home, methodOnlineStarted, message, onlineHeard{started: message}, s.push)
	}
}
