package discovery

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
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
	logger     zerolog.Logger

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a Service; nothing runs before Start.
func New(store platform.KeyValue, translator Translator, routes *route.Holder, directory *replica.Directory, logger zerolog.Logger) *Service {
	return &Service{
		store: store, translator: translator, routes: routes, directory: directory,
		logger: logger.With().Str(logging.FieldSlice, "discovery").Logger(),
	}
}

// Start begins to follow. It does not wait.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() {
		platform.Follow(ctx, s.store, s.translator.ConfigurationKey(), platform.Follower{
			Replace: s.takeConfiguration,
			Update:  func(changed []platform.Entry, _ []string) { s.takeConfiguration(changed) },
			Failed:  func(err error) { s.logger.Warn().Err(err).Msg("configuration_not_followed") },
		})
	})
	s.running.Go(func() {
		platform.Follow(ctx, s.store, s.translator.ReplicaPrefix(), platform.Follower{
			Replace: s.replaceReplicas,
			Update:  s.updateReplicas,
			Failed:  func(err error) { s.logger.Warn().Err(err).Msg("replicas_not_followed") },
		})
	})
}

// Stop ends the following.
func (s *Service) Stop() {
	s.cancel()
	s.running.Wait()
}

func (s *Service) takeConfiguration(entries []platform.Entry) {
	for _, entry := range entries {
		if entry.Key != s.translator.ConfigurationKey() {
			continue
		}
		table, err := s.translator.Table(entry.Value)
		if err != nil {
			s.logger.Error().Err(err).Msg("configuration_not_read")
			continue
		}
		if s.routes.Offer(table) {
			s.logger.Info().Int64("version", table.Version).Int64(logging.FieldRevision, entry.ModRevision).
				Int("routes", len(table.Routes)).Msg("configuration_in_force")
		}
	}
}

func (s *Service) replaceReplicas(entries []platform.Entry) {
	replicas := s.read(entries)
	s.directory.Replace(replicas)
	s.logger.Info().Int("replicas", len(replicas)).Msg("replicas_listed")
}

func (s *Service) updateReplicas(changed []platform.Entry, deleted []string) {
	removed := make([]string, 0, len(deleted))
	for _, key := range deleted {
		removed = append(removed, s.translator.ReplicaID(key))
		s.logger.Info().Str(logging.FieldReplica, s.translator.ReplicaID(key)).Msg("replica_gone")
	}
	if len(changed)+len(removed) > 0 {
		s.directory.Update(s.read(changed), removed)
	}
}

func (s *Service) read(entries []platform.Entry) []replica.Info {
	replicas := make([]replica.Info, 0, len(entries))
	for _, entry := range entries {
		info, err := s.translator.Replica(entry.Key, entry.Value)
		if err != nil {
			s.logger.Error().Err(err).Msg("replica_not_read")
			continue
		}
		if known := s.directory.View().Find(info.ID); known == nil || known.Info().Draining != info.Draining {
			s.logger.Info().Str(logging.FieldReplica, info.ID).Str("service", info.Service).Stringer("address", info.Address).
				Str("replica_zone", info.Zone).Bool("draining", info.Draining).Msg("replica_changed")
		}
		replicas = append(replicas, info)
	}
	return replicas
}
