package discovery

import (
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
)

// replaceReplicas applies a listing of the store.
func (s *Service) replaceReplicas(listing platform.Listing) {
	replicas, _, newest := s.translate(listing.Entries)
	removed := s.roster.Replace(replicas, listing.Revision)
	s.logger.Info().Int("replicas", len(replicas)).Int64(logging.FieldRevision, listing.Revision).Msg("replicas_listed")
	s.replicas.recordSeen(listing.Revision)
	if s.keepsPart() {
		s.directoryIsCopy = false
		s.publishPart(false)
		return
	}
	s.publishAll(replicas)
	s.versions.missed()
	s.versions.followed(listing.Revision)
	if newest = s.newestChange(listing, newest, removed); newest > 0 {
		s.replicas.recordChange(newest)
	}
}

// updateReplicas applies changes reported by the store.
func (s *Service) updateReplicas(revision int64, changed []platform.Entry, deleted []string) {
	removed := make([]string, 0, len(deleted))
	for _, key := range deleted {
		removed = append(removed, s.translator.ReplicaID(key))
		if _, known := s.roster.Find(s.translator.ReplicaID(key)); !known {
			// It came and went between two changes that were received.
			s.versions.missed()
		}
		if !s.roster.Long() {
			s.logger.Info().Str(logging.FieldReplica, s.translator.ReplicaID(key)).Msg("replica_gone")
		}
	}
	replicas, unusable, _ := s.translate(changed)
	removed = append(removed, unusable...)
	s.roster.Update(replicas, removed, revision)
	s.replicas.recordSeen(revision)
	if len(changed)+len(deleted) == 0 {
		s.versions.followed(revision)
		return
	}
	if s.keepsPart() {
		s.publishPart(false)
		return
	}
	if s.partPublished {
		// The list was long until this change, so that the directory holds only a part of it.
		s.publishAll(s.roster.All())
	} else {
		s.directory.Update(replicas, removed)
	}
	s.versions.followed(revision)
	s.replicas.recordChange(revision)
}

// applyReplicasCopy makes an older copy of the replicas the content of the directory, until the store lists them.
func (s *Service) applyReplicasCopy(copied platform.Listing) {
	replicas, _, _ := s.translate(copied.Entries)
	s.roster.ReplaceByCopy(replicas, copied.Revision)
	s.directoryIsCopy = true
	s.logger.Info().Int("replicas", len(replicas)).Int64(logging.FieldRevision, copied.Revision).Msg("replicas_taken_from_copy")
	if s.keepsPart() {
		s.publishPart(true)
		return
	}
	s.directory.ReplaceByCopy(replicas)
}

// translate translates entries. unusable holds the IDs of entries that cannot be translated; the caller removes these replicas, so that no
// earlier entry stays in force. newest is the highest revision of the entries of new, restarted, draining or undrained replicas, 0 if
// there are none.
func (s *Service) translate(entries []platform.Entry) (replicas []replica.Info, unusable []string, newest int64) {
	replicas = make([]replica.Info, 0, len(entries))
	for _, entry := range entries {
		info, err := s.translator.Replica(entry.Key, entry.Value)
		if err != nil {
			unusable = append(unusable, s.translator.ReplicaID(entry.Key))
			s.recordUnusable(entry, err)
			continue
		}
		known, found := s.roster.Find(info.ID)
		if !found || known.Draining != info.Draining || known.Born < info.Born {
			newest = max(newest, entry.ModRevision)
			s.logChanged(info)
		}
		replicas = append(replicas, info)
	}
	return replicas, unusable, newest
}

// logChanged logs a changed entry, unless the list is long, which would flood the log.
func (s *Service) logChanged(info replica.Info) {
	if s.roster.Long() {
		return
	}
	s.logger.Info().Str(logging.FieldReplica, info.ID).Str("service", info.Service).Str("version", info.Version).Stringer("address", info.Address).
		Str("replica_zone", info.Zone).Bool("draining", info.Draining).Msg("replica_changed")
}

// keepsPart reports whether the list is long, so that the directory holds only this node's part of it.
func (s *Service) keepsPart() bool { return s.relays != nil && s.roster.Long() }

// publishPart makes this node's part of the list the content of the directory; copied is true if the list is an older copy.
func (s *Service) publishPart(copied bool) {
	part := roster.Part{Node: string(s.node), Zone: s.zone, Width: s.keeper.Width(clock.Now())}
	replicas, unlistedSlots := s.roster.Part(part)
	s.keeper.Replace(replicas, unlistedSlots, copied)
	s.partPublished = true
}

// publishAll makes all replicas the content of the directory.
func (s *Service) publishAll(replicas []replica.Info) {
	s.directory.SetUnlistedSlots(nil)
	s.directory.Replace(replicas)
	s.partPublished = false
}
