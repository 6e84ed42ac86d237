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

// Translator translates the keys and values of the key-value service.
type Translator interface {
	// OperatorPrefix is the prefix of all keys that operators write. ConfigurationKey, below it, is the key of the configuration; Table
	// decodes its value.
	OperatorPrefix() string
	ConfigurationKey() string
	Table(value []byte) (*route.Table, error)
	// ReplicaPrefix is the prefix of the replicas' keys; ReplicaID decodes a key, and Replica an entry.
	ReplicaPrefix() string
	ReplicaID(key string) string
	Replica(key string, value []byte) (replica.Info, error)
}

// OperatorFollower receives what operators write: a complete listing at first and after missed changes, then the changes. Its methods are
// called by one goroutine. It receives a listing or change before a configuration in it takes effect.
type OperatorFollower interface {
	Replace(listing platform.Listing)
	Update(revision int64, changed []platform.Entry, deleted []string)
}

// CopyFollower is an OperatorFollower that also takes older copies while the store is unavailable.
type CopyFollower interface {
	ReplaceByCopy(copied platform.Listing)
}

// Service follows what operators write, including the configuration, and the replicas.
type Service struct {
	store      platform.KeyValue
	translator Translator
	routes     *route.Holder
	directory  *replica.Directory
	viewer     membership.Viewer
	copies     Copies
	retryNow   func(prefix string) <-chan struct{}
	// roster is the list of replicas if this node keeps all of them. If the list is long, keeper holds this node's part of it, which relays
	// follows at the relays. relays is nil if every node keeps all replicas, regardless of their number.
	roster *roster.Roster
	keeper *roster.Keeper
	relays *roster.Follower
	node   membership.NodeID
	zone   string
	// partPublished is true if the directory holds only a part of roster; it belongs to the goroutine that follows the replicas.
	partPublished bool
	// followers receive what operators write; they are set before Start.
	followers []OperatorFollower
	// operators and replicas compare the revisions of the two prefixes with those of other nodes.
	operators *revisions
	replicas  *revisions
	// directoryIsCopy is true if the directory holds a copy. No copies are supplied any more once the store's first listing is applied.
	directoryIsCopy bool
	// unusable holds the revisions of the unusable entries already logged, by key.
	unusable map[string]int64
	// versions determines which versions replicas have had.
	versions *versionReader
	metrics  *Metrics
	logger   zerolog.Logger

	cancel      context.CancelFunc
	unsubscribe func()
	running     sync.WaitGroup
}

// RevisionReporter reports the revisions of the newest changes known to this node to the other nodes.
type RevisionReporter interface {
	SetConfigRevision(revision int64)
	SetReplicasRevision(revision int64)
}

// Copies supplies older copies of the keys below a prefix.
type Copies interface {
	// CachePrefix calls take with copies of the prefix, each newer than the one before, until the prefix is listed or
	// DropCopies is called for it.
	CachePrefix(prefix string, take func(copied platform.Listing))
	// DropCopies ends the supply for a prefix whose content is learned in another way.
	DropCopies(prefix string)
}

// Options configures a Service.
type Options struct {
	Store      platform.KeyValue
	Translator Translator
	Routes     *route.Holder
	Directory  *replica.Directory
	// Viewer and Reporter exchange the newest known revisions between nodes.
	Viewer   membership.Viewer
	Reporter RevisionReporter
	// Copies supplies older copies while the store does not answer; nil for none.
	Copies Copies
	// Roster holds the list of replicas; nil creates one. Keeper and Relays supply this node's part of a long list, and need Node and Zone
	// of this node; they are nil if every node keeps all replicas.
	Roster *roster.Roster
	Keeper *roster.Keeper
	Relays *roster.Follower
	Node   membership.NodeID
	Zone   string
	// Changes reads the store's recent history, and Checked returns what is known of a prefix, as changefeed.Feed.Checked; without them
	// SoleVersion knows no version.
	Changes platform.ChangeReader
	Checked func(prefix string) (newest, checked int64)
	// RetryNow returns a channel that signals to the follower of a prefix that the store answers again; nil for none.
	RetryNow func(prefix string) <-chan struct{}
	// Metrics may be nil.
	Metrics *Metrics
	Logger  zerolog.Logger
}

// maxRememberedUnusable limits the unusable entries that are remembered as logged. Beyond it all are forgotten and logged again.
const maxRememberedUnusable = 256

// New returns a Service that is not started.
func New(options Options) *Service {
	logger := options.Logger.With().Str(logging.FieldSlice, "discovery").Logger()
	prefixLogger := func(prefix string) zerolog.Logger { return logger.With().Str(logging.FieldPrefix, prefix).Logger() }
	service := &Service{
		store:      options.Store,
		translator: options.Translator,
		routes:     options.Routes,
		directory:  options.Directory,
		viewer:     options.Viewer,
		copies:     options.Copies,
		retryNow:   options.RetryNow,
		roster:     options.Roster,
		keeper:     options.Keeper,
		relays:     options.Relays,
		node:       options.Node,
		zone:       options.Zone,
		operators:  newRevisions(options.Reporter.SetConfigRevision, prefixLogger(options.Translator.OperatorPrefix())),
		replicas:   newRevisions(options.Reporter.SetReplicasRevision, prefixLogger(options.Translator.ReplicaPrefix())),
		unusable:   map[string]int64{},
		metrics:    options.Metrics,
		logger:     logger,
	}
	service.versions = newVersionReader(options)
	if service.retryNow == nil {
		service.retryNow = func(string) <-chan struct{} { return nil }
	}
	if service.roster == nil {
		service.roster = roster.New()
	}
	if options.Copies != nil {
		options.Copies.CachePrefix(options.Translator.OperatorPrefix(), service.applyOperatorsCopy)
		options.Copies.CachePrefix(options.Translator.ReplicaPrefix(), service.applyReplicasCopy)
	}
	return service
}

// FollowOperators adds a follower of what operators write. It must be called before Start.
func (s *Service) FollowOperators(follower OperatorFollower) {
	s.followers = append(s.followers, follower)
}

// Start starts following both prefixes. It does not wait for the first listing.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.unsubscribe = s.viewer.Subscribe(s.onView)
	s.running.Go(func() {
		platform.Follow(ctx, s.store, s.translator.OperatorPrefix(), platform.Follower{
			Replace:       s.replaceOperators,
			Update:        s.updateOperators,
			OnError:       func(err error) { s.logger.Warn().Err(err).Msg("operators_not_followed") },
			ChangesMissed: s.operators.behind,
			RetryNow:      s.retryNow(s.translator.OperatorPrefix()),
		})
	})
	s.running.Go(func() { s.followReplicas(ctx) })
}

// Stop stops following and waits for the goroutines.
func (s *Service) Stop() {
	s.unsubscribe()
	s.cancel()
	s.running.Wait()
	s.operators.stop()
	s.replicas.stop()
}

// onView compares the newest revisions known to the other members with this node's.
func (s *Service) onView(view *membership.View) {
	var newest membership.Revisions
	for _, member := range view.Members {
		if member.ID != view.Self && member.State != membership.Dead {
			newest = newest.Join(member.Revisions)
		}
	}
	s.operators.compareWithOthers(newest.Configuration)
	if !s.keepsPart() {
		s.replicas.compareWithOthers(newest.Replicas)
	}
}

func (s *Service) replaceOperators(listing platform.Listing) {
	for _, follower := range s.followers {
		follower.Replace(listing)
	}
	s.applyConfiguration(listing.Entries)
	s.reportNewest(listing.Entries)
	s.operators.recordSeen(listing.Revision)
}

func (s *Service) updateOperators(revision int64, changed []platform.Entry, deleted []string) {
	for _, follower := range s.followers {
		follower.Update(revision, changed, deleted)
	}
	s.applyConfiguration(changed)
	s.reportNewest(changed)
	s.operators.recordSeen(revision)
}

// reportNewest reports the highest revision at which one of entries was written to the other nodes. Deleted requests are not reported: the
// revision of a deletion is not known once changes have been merged, and a higher one would make all other nodes list for nothing.
func (s *Service) reportNewest(entries []platform.Entry) {
	if newest := newestRevision(entries); newest > 0 {
		s.operators.recordChange(newest)
	}
}

// applyConfiguration applies the configuration, if it is among entries.
func (s *Service) applyConfiguration(entries []platform.Entry) {
	for _, entry := range entries {
		s.offerConfiguration(entry)
	}
}

// offerConfiguration applies the entry if it is the configuration, unless the same or a higher version is in force.
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

// recordUnusable counts an entry that cannot be translated, and logs it unless this revision of it was logged before.
func (s *Service) recordUnusable(entry platform.Entry, err error) {
	if s.metrics != nil {
		s.metrics.unusable.Inc()
	}
	if len(s.unusable) >= maxRememberedUnusable {
		clear(s.unusable)
	}
	if s.unusable[entry.Key] == entry.ModRevision {
		return
	}
	s.unusable[entry.Key] = entry.ModRevision
	s.logger.Warn().Str("key", entry.Key).Int64(logging.FieldRevision, entry.ModRevision).AnErr("error", err).
		Msg("replica_not_read")
}
