package discovery

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// Translator reads the entries of the key-value service.
type Translator interface {
	// ConfigurationKey is the key of the configuration; Table reads its value.
	ConfigurationKey() string
	Table(value []byte) (*route.Table, error)
	// ReplicaPrefix is the prefix of the replicas' keys; ReplicaID and Replica read one.
	ReplicaPrefix() string
	ReplicaID(key string) string
	Replica(key string, value []byte) (replica.Info, error)
}

// Service follows the configuration and the replicas.
type Service struct {
	store      platform.KeyValue
	translator Translator
	routes     *route.Holder
	directory  *replica.Directory
	viewer     membership.Viewer
	// configuration and replicas compare the two prefixes with what other nodes know.
	configuration *revisions
	replicas      *revisions
	// replicasByCopy says that the directory holds a copy; copies end before the store's first listing is taken.
	replicasByCopy bool
	logger         zerolog.Logger

	cancel      context.CancelFunc
	unsubscribe func()
	running     sync.WaitGroup
}

// RevisionReporter reports to the other nodes the newest changes that this one knows.
type RevisionReporter interface {
	SetConfigRevision(revision int64)
	SetReplicasRevision(revision int64)
}

// Copies supplies copies of what lies below a prefix, each newer than the one before, until the prefix is listed.
type Copies interface {
	Supply(prefix string, take func(copied platform.Listing))
}

// Options of a Service.
type Options struct {
	Store      platform.KeyValue
	Translator Translator
	Routes     *route.Holder
	Directory  *replica.Directory
	// Viewer and Reporter let nodes tell each other which changes they know.
	Viewer   membership.Viewer
	Reporter RevisionReporter
	// Copies supplies what was known some time ago while the store does not answer; nil where nothing does.
	Copies Copies
	Logger zerolog.Logger
}

// New returns a Service; nothing runs before Start.
func New(options Options) *Service {
	logger := options.Logger.With().Str(logging.FieldSlice, "discovery").Logger()
	follows := func(prefix string) zerolog.Logger { return logger.With().Str(logging.FieldPrefix, prefix).Logger() }
	service := &Service{
		store: options.Store, translator: options.Translator, routes: options.Routes, directory: options.Directory,
		viewer:        options.Viewer,
		configuration: newRevisions(options.Reporter.SetConfigRevision, follows(options.Translator.ConfigurationKey())),
		replicas:      newRevisions(options.Reporter.SetReplicasRevision, follows(options.Translator.ReplicaPrefix())),
		logger:        logger,
	}
	if options.Copies != nil {
		options.Copies.Supply(options.Translator.ConfigurationKey(), service.takeCopiedConfiguration)
		options.Copies.Supply(options.Translator.ReplicaPrefix(), service.takeCopiedReplicas)
	}
	return service
}

// Start begins to follow. It does not wait.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.unsubscribe = s.viewer.Subscribe(s.takeMembers)
	s.running.Go(func() {
		platform.Follow(ctx, s.store, s.translator.ConfigurationKey(), platform.Follower{
			Replace: func(listing platform.Listing) {
				s.takeConfiguration(listing.Entries)
				s.configuration.saw(listing.Revision)
			},
			Update: func(revision int64, changed []platform.Entry, _ []string) {
				s.takeConfiguration(changed)
				s.configuration.saw(revision)
			},
			Failed: func(err error) { s.logger.Warn().Err(err).Msg("configuration_not_followed") },
			Behind: s.configuration.behind,
		})
	})
	s.running.Go(func() {
		platform.Follow(ctx, s.store, s.translator.ReplicaPrefix(), platform.Follower{
			Replace: s.replaceReplicas,
			Update:  s.updateReplicas,
			Failed:  func(err error) { s.logger.Warn().Err(err).Msg("replicas_not_followed") },
			Behind:  s.replicas.behind,
		})
	})
}

// Stop ends the following.
func (s *Service) Stop() {
	s.unsubscribe()
	s.cancel()
	s.running.Wait()
	s.configuration.stop()
	s.replicas.stop()
}

// takeMembers takes what the other members know.
func (s *Service) takeMembers(view *membership.View) {
	var newest membership.Revisions
	for _, member := range view.Members {
		if member.ID != view.Self && member.State != membership.Dead {
			newest = newest.Join(member.Revisions)
		}
	}
	s.configuration.takeOthers(newest.Configuration)
	s.replicas.takeOthers(newest.Replicas)
}

// takeConfiguration takes what the store says.
func (s *Service) takeConfiguration(entries []platform.Entry) {
	for _, entry := range entries {
		if s.offerConfiguration(entry) {
			s.configuration.tookChange(entry.ModRevision)
		}
	}
}

// offerConfiguration puts the configuration of an entry in force, unless a higher version is; false where its version is not in force then.
func (s *Service) offerConfiguration(entry platform.Entry) bool {
	if entry.Key != s.translator.ConfigurationKey() {
		return false
	}
	table, err := s.translator.Table(entry.Value)
	if err != nil {
		s.logger.Error().Err(err).Msg("configuration_not_read")
		return false
	}
	if s.routes.Offer(table) {
		s.logger.Info().Int64("version", table.Version).Int64(logging.FieldRevision, entry.ModRevision).
			Int("routes", len(table.Routes)).Msg("configuration_in_force")
		return true
	}
	return s.routes.Table().Version == table.Version
}

func (s *Service) updateReplicas(revision int64, changed []platform.Entry, deleted []string) {
	removed := make([]string, 0, len(deleted))
	for _, key := range deleted {
		removed = append(removed, s.translator.ReplicaID(key))
		s.logger.Info().Str(logging.FieldReplica, s.translator.ReplicaID(key)).Msg("replica_gone")
	}
	if len(changed)+len(removed) > 0 {
		replicas, _ := s.read(changed)
		s.directory.Update(replicas, removed)
		s.replicas.tookChange(revision)
	}
	s.replicas.saw(revision)
}

// read translates entries; news is the newest revision of those that tell what was not known, 0 where none does.
func (s *Service) read(entries []platform.Entry) (replicas []replica.Info, news int64) {
	replicas = make([]replica.Info, 0, len(entries))
	for _, entry := range entries {
		info, err := s.translator.Replica(entry.Key, entry.Value)
		if err != nil {
			s.logger.Error().Err(err).Msg("replica_not_read")
			continue
		}
		if known := s.directory.View().Find(info.ID); known == nil || known.Info().Draining != info.Draining {
			news = max(news, entry.ModRevision)
			s.logger.Info().Str(logging.FieldReplica, info.ID).Str("service", info.Service).Stringer("address", info.Address).
				Str("replica_zone", info.Zone).Bool("draining", info.Draining).Msg("replica_changed")
		}
		replicas = append(replicas, info)
	}
	return replicas, news
}
