package discovery

import (
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
)

// replaceReplicas takes a listing of the store.
func (s *Service) replaceReplicas(listing platform.Listing) {
	replicas, _, news := s.read(listing.Entries)
	gone := s.roster.Replace(replicas, listing.Revision)
	s.logger.Info().Int("replicas", len(replicas)).Int64(logging.FieldRevision, listing.Revision).Msg("replicas_listed")
	s.replicas.saw(listing.Revision)
	if s.keepsPart() {
		s.replicasByCopy = false
		s.publishPart(false)
		return
	}
	s.publishAll(replicas)
	if news = s.newsOf(listing, news, gone); news > 0 {
		s.replicas.tookChange(news)
	}
}

// updateReplicas takes changes that the store reports.
func (s *Service) updateReplicas(revision int64, changed []platform.Entry, deleted []string) {
	removed := make([]string, 0, len(deleted))
	for _, key := range deleted {
		removed = append(removed, s.translator.ReplicaID(key))
		if !s.roster.Long() {
			s.logger.Info().Str(logging.FieldReplica, s.translator.ReplicaID(key)).Msg("replica_gone")
		}
	}
	replicas, unusable, _ := s.read(changed)
	removed = append(removed, unusable...)
	s.roster.Update(replicas, removed, revision)
	s.replicas.saw(revision)
	if len(changed)+len(deleted) == 0 {
		return
	}
	if s.keepsPart() {
		s.publishPart(false)
		return
	}
	if s.partPublished {
		// The list was long until this change.
		s.publishAll(s.roster.All())
	} else {
		s.directory.Update(replicas, removed)
	}
	s.replicas.tookChange(revision)
}

// takeCopiedReplicas makes replicas that were known some time ago the content of the directory, until the store lists them.
func (s *Service) takeCopiedReplicas(copied platform.Listing) {
	replicas, _, _ := s.read(copied.Entries)
	s.roster.ReplaceByCopy(replicas, copied.Revision)
	s.replicasByCopy = true
	s.logger.Info().Int("replicas", len(replicas)).Int64(logging.FieldRevision, copied.Revision).Msg("replicas_taken_from_copy")
	if s.keepsPart() {
		s.publishPart(true)
		return
	}
	s.directory.ReplaceByCopy(replicas)
}

// read translates entries. unusable are the IDs of entries that name no replica to use: what an earlier entry said is not kept in its place.
// news is the newest revision of those entries that say what was not known, 0 where none does.
func (s *Service) read(entries []platform.Entry) (replicas []replica.Info, unusable []string, news int64) {
	replicas = make([]replica.Info, 0, len(entries))
	for _, entry := range entries {
		info, err := s.translator.Replica(entry.Key, entry.Value)
		if err != nil {
			unusable = append(unusable, s.translator.ReplicaID(entry.Key))
			s.noteUnusable(entry, err)
			continue
		}
		known, kept := s.roster.Find(info.ID)
		if !kept || known.Draining != info.Draining || known.Born < info.Born {
			news = max(news, entry.ModRevision)
			s.logChanged(info)
		}
		replicas = append(replicas, info)
	}
	return replicas, unusable, news
}

// logChanged logs what an entry says that was not known; of a long list that would be more lines than anybody reads.
func (s *Service) logChanged(info replica.Info) {
	if s.roster.Long() {
		return
	}
	s.logger.Info().Str(logging.FieldReplica, info.ID).Str("service", info.Service).Stringer("address", info.Address).
		Str("replica_zone", info.Zone).Bool("draining", info.Draining).Msg("replica_changed")
}

// keepsPart says that the directory holds this node's part of the replicas.
func (s *Service) keepsPart() bool { return s.relays != nil && s.roster.Long() }

// publishPart brings this node's part of the list to the directory.
func (s *Service) publishPart(copied bool) {
	part := roster.Part{Node: string(s.node), Zone: s.zone, Width: s.keeper.Width(clock.Now())}
	replicas, elsewhere := s.roster.Part(part)
	s.keeper.Replace(replicas, elsewhere, copied)
	s.partPublished = true
}

// publishAll makes all replicas the content of the directory.
func (s *Service) publishAll(replicas []replica.Info) {
	s.directory.SetElsewhere(nil)
	s.directory.Replace(replicas)
	s.partPublished = false
}
