package discovery

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/roster"
	"github.com/sloelift/sloelift/internal/route"
)

// Translator reads the entries of the key-value service.
type Translator interface {
	// OperatorPrefix is the prefix of all that operators write. ConfigurationKey, below it, is the key of the configuration; Table reads
	// its value.
	OperatorPrefix() string
	ConfigurationKey() string
	Table(value []byte) (*route.Table, error)
	// ReplicaPrefix is the prefix of the replicas' keys; ReplicaID and Replica read one.
	ReplicaPrefix() string
	ReplicaID(key string) string
	Replica(key string, value []byte) (replica.Info, error)
}

// OperatorFollower takes in what operators write: all of it at first and after changes were missed, then the changes. Its methods are
// called by one goroutine. Requests come to it before a configuration of the same listing or change is in force.
type OperatorFollower interface {
	Replace(listing platform.Listing)
	Update(revision int64, changed []platform.Entry, deleted []string)
}

// CopyFollower is an OperatorFollower that also takes what operators wrote some time ago, while the store cannot be asked.
type CopyFollower interface {
	ReplaceByCopy(copied platform.Listing)
}

// Service follows what operators write, the configuration among it, and the replicas.
type Service struct {
	store      platform.KeyValue
	translator Translator
	routes     *route.Holder
	directory  *replica.Directory
	viewer     membership.Viewer
	copies     Copies
	// roster is the list of replicas where this node keeps all, keeper the part of it that this node is to know where it is long, relays those
	// that send the part; relays is nil where each node keeps all, however many there are.
	roster *roster.Roster
	keeper *roster.Keeper
	relays *roster.Follower
	node   membership.NodeID
	zone   string
	// partPublished says that the directory holds a part of the list that is kept here; it belongs to the goroutine that follows the replicas.
	partPublished bool
	// followers take in what operators write; they are set before Start.
	followers []OperatorFollower
	// operators and replicas compare the two prefixes with what other nodes know.
	operators *revisions
	replicas  *revisions
	// replicasByCopy says that the directory holds a copy; copies end before the store's first listing is taken.
	replicasByCopy bool
	// unusable are the revisions of the unusable entries that were logged, by key.
	unusable map[string]int64
	metrics  *Metrics
	logger   zerolog.Logger

	cancel      context.CancelFunc
	unsubscribe func()
	running     sync.WaitGroup
}

// RevisionReporter reports to the other nodes the newest changes that this one knows.
type RevisionReporter interface {
	SetConfigRevision(revision int64)
	SetReplicasRevision(revision int64)
}

// Copies supplies copies of what lies below a prefix, each newer than the one before, until the prefix is listed or settled.
type Copies interface {
	Supply(prefix string, take func(copied platform.Listing))
	// Settle says that no copies are wanted, since what lies below the prefix is learnt in another way.
	Settle(prefix string)
}

// Options of a Service.
type Options struct {
	Store      platform.KeyValue
	Translator Translator
	Routes     *route.Holder
	Directory  *replica.Directory
	// Viewer and Reporter let nodes know of each other which changes they have.
	Viewer   membership.Viewer
	Reporter RevisionReporter
	// Copies supplies what was known some time ago while the store does not answer; nil where nothing does.
	Copies Copies
	// Roster is where this node keeps the list of replicas; nil stands for one of its own. Keeper and Relays bring it its part of a long list;
	// nil where each node keeps all. Node and Zone are this one's then.
	Roster *roster.Roster
	Keeper *roster.Keeper
	Relays *roster.Follower
	Node   membership.NodeID
	Zone   string
	// Metrics may be nil.
	Metrics *Metrics
	Logger  zerolog.Logger
}

// mostUnusableKept bounds the unusable entries that are remembered for the log: beyond it they are logged again.
const mostUnusableKept = 256

// New returns a Service; nothing runs before Start.
func New(options Options) *Service {
	logger := options.Logger.With().Str(logging.FieldSlice, "discovery").Logger()
	follows := func(prefix string) zerolog.Logger { return logger.With().Str(logging.FieldPrefix, prefix).Logger() }
	service := &Service{
		store: options.Store, translator: options.Translator, routes: options.Routes, directory: options.Directory,
		viewer: options.Viewer, copies: options.Copies, roster: options.Roster, keeper: options.Keeper, relays: options.Relays,
		node: options.Node, zone: options.Zone,
		operators: newRevisions(options.Reporter.SetConfigRevision, follows(options.Translator.OperatorPrefix())),
		replicas:  newRevisions(options.Reporter.SetReplicasRevision, follows(options.Translator.ReplicaPrefix())),
		unusable:  map[string]int64{},
		metrics:   options.Metrics,
		logger:    logger,
	}
	if service.roster == nil {
		service.roster = roster.New()
	}
	if options.Copies != nil {
		options.Copies.Supply(options.Translator.OperatorPrefix(), service.takeCopiedOperators)
		options.Copies.Supply(options.Translator.ReplicaPrefix(), service.takeCopiedReplicas)
	}
	return service
}

// FollowOperators has follower take in what operators write. It is called before Start.
func (s *Service) FollowOperators(follower OperatorFollower) {
	s.followers = append(s.followers, follower)
}

// Start begins to follow. It does not wait.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.unsubscribe = s.viewer.Subscribe(s.takeMembers)
	s.running.Go(func() {
		platform.Follow(ctx, s.store, s.translator.OperatorPrefix(), platform.Follower{
			Replace: s.replaceOperators,
			Update:  s.updateOperators,
			Failed:  func(err error) { s.logger.Warn().Err(err).Msg("operators_not_followed") },
			Behind:  s.operators.behind,
		})
	})
	s.running.Go(func() { s.followReplicas(ctx) })
}

// Stop ends the following.
func (s *Service) Stop() {
	s.unsubscribe()
	s.cancel()
	s.running.Wait()
	s.operators.stop()
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
	s.operators.takeOthers(newest.Configuration)
	if !s.keepsPart() {
		s.replicas.takeOthers(newest.Replicas)
	}
}

func (s *Service) replaceOperators(listing platform.Listing) {
	for _, follower := range s.followers {
		follower.Replace(listing)
	}
	s.takeConfiguration(listing.Entries)
	s.reportNewest(listing.Entries)
	s.operators.saw(listing.Revision)
}

func (s *Service) updateOperators(revision int64, changed []platform.Entry, deleted []string) {
	for _, follower := range s.followers {
		follower.Update(revision, changed, deleted)
	}
	s.takeConfiguration(changed)
	s.reportNewest(changed)
	s.operators.saw(revision)
}

// reportNewest reports the newest of entries to the other nodes, by the revision at which it was written. A request that was taken back is not
// reported: its revision is not known once changes were merged, and a higher one would have all others list, though they know as much.
func (s *Service) reportNewest(entries []platform.Entry) {
	if newest := newestOf(entries); newest > 0 {
		s.operators.tookChange(newest)
	}
}

// takeConfiguration puts the configuration among entries in force.
func (s *Service) takeConfiguration(entries []platform.Entry) {
	for _, entry := range entries {
		s.offerConfiguration(entry)
	}
}

// offerConfiguration puts the configuration of an entry in force, unless its version or a higher one is.
func (s *Service) offerConfiguration(entry platform.Entry) {
	if entry.Key != s.translator.ConfigurationKey() {
		return
	}
	table, err := s.translator.Table(entry.Value)
	if err != nil {
		s.logger.Error().Err(err).Msg("configuration_not_read")
		return
	}
	if s.routes.Offer(table) {
		s.logger.Info().Int64("version", table.Version).Int64(logging.FieldRevision, entry.ModRevision).
			Int("routes", len(table.Routes)).Msg("configuration_in_force")
	}
}

// noteUnusable counts an entry that names no replica, and logs it unless it was logged as it stands.
func (s *Service) noteUnusable(entry platform.Entry, err error) {
	if s.metrics != nil {
		s.metrics.unusable.Inc()
	}
	if len(s.unusable) >= mostUnusableKept {
		clear(s.unusable)
	}
	if s.unusable[entry.Key] == entry.ModRevision {
		return
	}
	s.unusable[entry.Key] = entry.ModRevision
	s.logger.Warn().Str("key", entry.Key).Int64(logging.FieldRevision, entry.ModRevision).AnErr("error", err).Msg("replica_not_read")
}
