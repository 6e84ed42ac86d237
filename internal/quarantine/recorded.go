package quarantine

import (
	"context"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// recordPrefix is the prefix of the records of rejected messages in the key-value service, where they survive the
	// loss of all nodes. The digest of the message follows it.
	recordPrefix = "/sloelift/quarantine/"
	// recordValue is the value of a record: the service accepts no empty value.
	recordValue = "rejected"
	// recordTimeout bounds the calls that write or read records.
	recordTimeout = 2 * time.Second
	// zoneReadDelay is how long a starting node asks other nodes before the first node of each zone reads the records,
	// allNodesReadDelay before every node does.
	zoneReadDelay     = 100 * time.Millisecond
	allNodesReadDelay = 2 * time.Second
)

// recordState is the state of the record of a rejected message.
type recordState int

const (
	// recordMissing: the first keeper has to write it.
	recordMissing recordState = iota
	// recordWritten: this node wrote it or found it written.
	recordWritten
	// recordRecalled: this node learned of the rejection from a record.
	recordRecalled
)

// recordKey returns the key of a rejected message's record.
func recordKey(message Key) string { return recordPrefix + hex.EncodeToString(message[:]) }

// messageOfRecord returns the message of a record with the given key; valid is false if the key is malformed.
func messageOfRecord(key string) (message Key, valid bool) {
	encoded, err := hex.DecodeString(strings.TrimPrefix(key, recordPrefix))
	if err != nil {
		return message, false
	}
	return decodeKey(encoded)
}

// writeRecords writes the missing records and deletes the stale ones whenever a rejection is made or taken back, and
// every refreshInterval.
func (s *Service) writeRecords() {
	if s.store == nil {
		return
	}
	writer := &recorder{service: s}
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.recordsChanged:
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		for _, message := range s.missingRecords() {
			writer.write(message)
		}
		for _, message := range s.recordsToDelete() {
			writer.remove(message)
		}
	}
}

// recordsToDelete returns the messages whose records this node has to delete. The record of a message that was rejected
// again meanwhile is kept, and the lease of an old one is over.
func (s *Service) recordsToDelete() []Key {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.staleRecords, func(message Key, since time.Time) bool {
		_, rejected := s.rejected[message]
		return rejected || now.Sub(since) >= retention
	})
	return slices.Collect(maps.Keys(s.staleRecords))
}

// missingRecords returns the rejected messages whose records this node has to write. A provisional rejection is not
// recorded: nodes that start later would keep it after it is taken back.
func (s *Service) missingRecords() []Key {
	view := s.viewer.View()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var missing []Key
	for message, state := range s.rejected {
		if state != recordMissing || s.evidence.isProvisional(message) {
			continue
		}
		if ranked := keepers(view, message); len(ranked) > 0 && ranked[0].ID == view.Self {
			missing = append(missing, message)
		}
	}
	return missing
}

// recorder writes records under a lease, so that they disappear at about the time their messages are forgotten. It is
// used by one goroutine.
type recorder struct {
	service    *Service
	lease      platform.LeaseID
	leaseUntil time.Time
}

// write writes the record of a message. A failed write is retried later.
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
	} else {
		s.staleRecords[message] = clock.Now()
		subscription.Signal(s.recordsChanged)
	}
	s.logger.Info().Stringer("digest", message).Msg("rejection_recorded")
}

// remove deletes the record of a message whose rejection was taken back: nodes that start later would keep the message
// from replicas. A failed deletion is retried later.
func (r *recorder) remove(message Key) {
	s := r.service
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout)
	defer cancel()
	if _, err := s.store.Commit(ctx, platform.Transaction{Changes: []platform.Change{{Key: recordKey(message), Delete: true}}}); err != nil {
		s.logger.Info().Stringer("digest", message).Err(err).Msg("rejection_not_withdrawn")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.staleRecords, message)
	s.logger.Info().Stringer("digest", message).Msg("rejection_withdrawn")
}

// commit writes the record under the current lease, or under a new one if less than half of the lease's time is left.
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
	// If the condition fails, another keeper has written the record.
	_, err := r.service.store.Commit(ctx, platform.Transaction{Conditions: []platform.Condition{{Key: key}}, Changes: []platform.Change{change}})
	return err
}

// shouldReadRecords reports whether this node reads the records, given how long it has asked other nodes without
// finding one that knows all of them.
func (s *Service) shouldReadRecords(askedFor time.Duration) bool {
	if s.store == nil || askedFor < zoneReadDelay {
		return false
	}
	if askedFor >= allNodesReadDelay {
		return true
	}
	view := s.viewer.View()
	if len(view.Live()) < 2 {
		// The other nodes are not known yet.
		return false
	}
	self, found := view.Find(view.Self)
	return found && firstOfZone(keepers(view, Key{}), self.Zone) == self.ID
}

// firstOfZone returns the first of the ranked members that is in the zone, or an empty ID.
func firstOfZone(ranked []membership.Member, zone string) membership.NodeID {
	for _, member := range ranked {
		if member.Zone == zone {
			return member.ID
		}
	}
	return ""
}

// readRecords reads the messages that were rejected before all nodes were killed.
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

// clearRecalled takes back the recalled rejection of a message that completed, or of a part whose answer began. Other nodes
// that have read its record keep the rejection. The mutex is held.
func (s *Service) clearRecalled(message Key) {
	if _, recalled := s.evidence.recalled[message]; !recalled {
		return
	}
	delete(s.evidence.recalled, message)
	s.updateRejected(message)
	s.signalChanged()
}

// recallRejected adds messages that were rejected by evidence that no longer exists. The mutex is held.
func (s *Service) recallRejected(messages [][]byte, now time.Time) {
	for _, encoded := range messages {
		message, valid := decodeKey(encoded)
		if !valid {
			continue
		}
		s.evidence.recalled[message] = now
		if _, known := s.rejected[message]; !known {
			s.rejected[message] = recordRecalled
		}
	}
	if len(messages) > 0 {
		s.signalChanged()
	}
}
