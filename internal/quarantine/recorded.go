package quarantine

import (
	"context"
	"encoding/hex"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

const (
	// recordPrefix is where rejected messages stand in the key-value service, by digest: all nodes may be killed at once.
	recordPrefix = "/sloelift/quarantine/"
	// recordValue is what a record holds: the service takes no empty value.
	recordValue = "rejected"
	// recordTimeout bounds the calls to the service that make or read records.
	recordTimeout = 2 * time.Second
	// zoneReadDelay is how long other nodes are asked before the first node of each zone reads the records, allReadAfter before each node does.
	zoneReadDelay     = 100 * time.Millisecond
	allNodesReadDelay = 2 * time.Second
)

// recordState is the state of a rejected message's record.
type recordState int

const (
	// recordMissing: it is to be written, by the first keeper.
	recordMissing recordState = iota
	// recordWritten: it was written or found.
	recordWritten
)

// recordKey returns the key under which a rejected message stands.
func recordKey(message Key) string { return recordPrefix + hex.EncodeToString(message[:]) }

// messageOfRecord returns the message of a record's key.
func messageOfRecord(key string) (message Key, valid bool) {
	encoded, err := hex.DecodeString(strings.TrimPrefix(key, recordPrefix))
	if err != nil {
		return message, false
	}
	return decodeKey(encoded)
}

// writeRecords writes, from time to time and whenever a message is rejected, the records that are missing.
func (s *Service) writeRecords() {
	if s.store == nil {
		return
	}
	writer := &recorder{service: s}
	again := time.NewTicker(refreshInterval)
	defer again.Stop()
	for {
		select {
		case <-s.recordsMissing:
		case <-again.C:
		case <-s.ctx.Done():
			return
		}
		for _, message := range s.missingRecords() {
			writer.write(message)
		}
	}
}

// missingRecords returns the rejected messages whose record this node is to write.
func (s *Service) missingRecords() []Key {
	view := s.viewer.View()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var missing []Key
	for message, state := range s.rejected {
		if state != recordMissing {
			continue
		}
		if ranked := keepers(view, message); len(ranked) > 0 && ranked[0].ID == view.Self {
			missing = append(missing, message)
		}
	}
	return missing
}

// recorder writes records under a lease, so that they go about when their messages are forgotten. It belongs to one goroutine.
type recorder struct {
	service    *Service
	lease      platform.LeaseID
	leaseUntil time.Time
}

// write writes the record of a message; without success it is tried again later.
func (r *recorder) write(message Key) {
	s := r.service
	if err := r.commit(message); err != nil {
		r.leaseUntil = time.Time{}
		s.logger.Info().Stringer("digest", message).Err(err).Msg("rejection_not_recorded")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, rejected := s.rejected[message]; rejected {
		s.rejected[message] = recordWritten
	}
	s.logger.Info().Stringer("digest", message).Msg("rejection_recorded")
}

// commit writes the record under the present lease, or a new one where less than half of its time is left.
func (r *recorder) commit(message Key) error {
	ctx, cancel := context.WithTimeout(r.service.ctx, recordTimeout)
	defer cancel()
	if now := clock.Now(); r.leaseUntil.Sub(now) < retention/2 {
		lease, err := r.service.store.GrantLease(ctx, retention)
		if err != nil {
			return err
		}
		r.lease, r.leaseUntil = lease, now.Add(retention)
	}
	key := recordKey(message)
	change := platform.Change{Key: key, Value: []byte(recordValue), LeaseID: r.lease}
	// Where the condition does not hold, another keeper has written it.
	_, err := r.service.store.Commit(ctx, platform.Transaction{Conditions: []platform.Condition{{Key: key}}, Changes: []platform.Change{change}})
	return err
}

// shouldReadRecords says that this node reads the records where others, which were asked for that long, do not know all of them.
func (s *Service) shouldReadRecords(asked time.Duration) bool {
	if s.store == nil || asked < zoneReadDelay {
		return false
	}
	if asked >= allNodesReadDelay {
		return true
	}
	view := s.viewer.View()
	if len(view.Live()) < 2 {
		// The others are not known yet.
		return false
	}
	self, found := view.Find(view.Self)
	return found && firstOfZone(keepers(view, Key{}), self.Zone) == self.ID
}

// firstOfZone returns the first of ranked members in a zone.
func firstOfZone(ranked []membership.Member, zone string) membership.NodeID {
	for _, member := range ranked {
		if member.Zone == zone {
			return member.ID
		}
	}
	return ""
}

// readRecords takes in the messages that stood rejected when all nodes were killed.
func (s *Service) readRecords() {
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout)
	defer cancel()
	listing, err := s.store.List(ctx, recordPrefix)
	if err != nil {
		s.logger.Info().Err(err).Msg("rejections_not_read")
		return
	}
	var messages [][]byte
	for _, entry := range listing.Entries {
		if message, valid := messageOfRecord(entry.Key); valid {
			messages = append(messages, message[:])
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recallRejected(messages, clock.Now())
	s.complete = true
	s.logger.Info().Int("messages", len(messages)).Msg("rejections_read")
}

// recallRejected takes in messages that were rejected by evidence which is gone. The mutex is held.
func (s *Service) recallRejected(messages [][]byte, now time.Time) {
	for _, encoded := range messages {
		message, valid := decodeKey(encoded)
		if !valid {
			continue
		}
		s.evidence.recalled[message] = now
		if _, known := s.rejected[message]; !known {
			s.rejected[message] = recordWritten
		}
	}
	if len(messages) > 0 {
		s.signalChanged()
	}
}
