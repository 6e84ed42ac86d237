package coldstart

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// checkInterval is how often the replicas are looked through for those that have turned cold or warm; after a change of the directory that
	// is done at once.
	checkInterval = 200 * time.Millisecond
	// claimAgain is the time after which a pass is claimed again that could not be claimed: a call to the key-value service has a price, and
	// a replica is cold for some seconds. heldElsewhere is the same for a pass that another node holds.
	claimAgain    = time.Second
	heldElsewhere = 2 * time.Second
	// wantedLately is how long after a request could have used a cold replica this node still claims a pass of it: the passes of replicas that
	// nobody needs are left to others.
	wantedLately = time.Second
	// logInterval is the least time between two log lines on refused requests.
	logInterval = time.Second
	// assumedUnconfigured is how long a replica that has just appeared counts as cold while no configuration is known, nor
	// with it what its service declares: replicas are cold for a few seconds.
	assumedUnconfigured = 5 * time.Second
)

// Options of a Service.
type Options struct {
	Bounds    Bounds
	Routes    *route.Holder
	Directory *replica.Directory
	// Store is nil where this node never sends to cold replicas.
	Store      platform.KeyValue
	Viewer     membership.Viewer
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service is the Limiter of one node. It claims passes for replicas that are cold while it runs.
type Service struct {
	options Options
	logger  zerolog.Logger
	metrics metrics
	refused refusals
	// held is what is known of each cold replica; it belongs to the goroutine that runs.
	held    map[*replica.Handle]*holding
	claimer claimer

	changed     chan struct{}
	unsubscribe []func()
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// holding is what this node has of one cold replica.
type holding struct {
	number   int
	revision int64
	// notBefore is when a pass may be claimed again.
	notBefore time.Time
}

// New returns a Service, and has replicas that appear in the directory from now on count as cold. Nothing runs before Start.
func New(options Options) *Service {
	service := &Service{
		options: options, logger: options.Logger.With().Str(logging.FieldSlice, "coldstart").Logger(),
		metrics: newMetrics(options.Registerer), held: map[*replica.Handle]*holding{}, claimer: claimer{store: options.Store}, changed: make(chan struct{}, 1),
	}
	options.Directory.SetColdTerms(service.terms)
	return service
}

var _ Limiter = (*Service)(nil)

// Start begins to claim passes. It does not wait.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.unsubscribe = []func(){
		s.options.Directory.Subscribe(func(*replica.View) { s.signal() }),
		s.options.Routes.Subscribe(func(*route.Table) { s.options.Directory.SetColdTerms(s.terms) }),
	}
	// A configuration may have come before.
	s.options.Directory.SetColdTerms(s.terms)
	s.running.Go(func() { s.run(ctx) })
}

// Stop ends it. Keys in the key-value service end with their leases.
func (s *Service) Stop() {
	for _, unsubscribe := range s.unsubscribe {
		unsubscribe()
	}
	s.cancel()
	s.running.Wait()
}

func (s *Service) signal() {
	subscription.Signal(s.changed)
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		s.check(ctx)
		select {
		case <-s.changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// terms says whether a service bounds what its cold replicas get, and for how long a replica is assumed to be cold.
func (s *Service) terms(name string) (assumed time.Duration, bounded bool) {
	table := s.options.Routes.Table()
	if table == nil {
		return assumedUnconfigured, true
	}
	service := table.Services[name]
	return service.ColdStart, service.ColdRequestsPerSecond > 0
}

// Take admits a request to a replica that is warm, or by this node's pass.
func (s *Service) Take(handle *replica.Handle) bool {
	now := clock.Now()
	if !handle.Cold(now) {
		return true
	}
	if pass := handle.ColdPass(); pass != nil && pass.Take(now) {
		s.metrics.requests.WithLabelValues(verdictAdmitted).Inc()
		return true
	}
	s.metrics.requests.WithLabelValues(verdictRefused).Inc()
	s.refused.add()
	return false
}

// check looks for replicas that have turned cold or warm, and claims the passes that are missing.
func (s *Service) check(ctx context.Context) {
	now := clock.Now()
	s.logRefusals(now)
	view := s.options.Directory.View()
	s.dropWarm(view, now)
	var wanted []claim
	for handle := range view.All() {
		if !handle.Cold(now) {
			continue
		}
		if each, wants := s.want(handle, now); wants {
			wanted = append(wanted, each)
		}
	}
	s.metrics.cold.Set(float64(len(s.held)))
	for len(wanted) > 0 && ctx.Err() == nil {
		count := min(maxKeys, len(wanted))
		s.claim(ctx, wanted[:count])
		wanted = wanted[count:]
	}
}

// dropWarm forgets the replicas that are warm or gone.
func (s *Service) dropWarm(view *replica.View, now time.Time) {
	for handle := range s.held {
		if handle.Cold(now) && view.Find(handle.Info().ID) == handle {
			continue
		}
		delete(s.held, handle)
		s.logger.Info().Str(logging.FieldReplica, handle.Info().ID).Bool("gone", handle.Cold(now)).Msg("replica_warm")
	}
}

// want returns the claim of the pass that this node is to hold of a cold replica; wants is false where it has it, or is to have none.
func (s *Service) want(handle *replica.Handle, now time.Time) (made claim, wants bool) {
	held := s.held[handle]
	if held == nil {
		held = &holding{}
		s.held[handle] = held
		s.logger.Info().Str(logging.FieldReplica, handle.Info().ID).Str("replica_zone", handle.Info().Zone).Dur("cold_for", handle.ColdFor(now)).Msg("replica_cold")
	}
	table := s.options.Routes.Table()
	if s.options.Store == nil || table == nil || now.Before(held.notBefore) || !handle.Usable() || !handle.ColdWanted(now.Add(-wantedLately)) {
		return claim{}, false
	}
	if pass := handle.ColdPass(); pass != nil && !pass.Until().Before(now.Add(min(claimAgain, handle.ColdFor(now)))) {
		return claim{}, false
	}
	cut := s.options.Bounds.divide(table.Services[handle.Info().Service])
	number, mine := placeOf(s.options.Viewer.View(), handle.Info().ID, handle.Info().Zone, cut.passes)
	if !mine {
		return claim{}, false
	}
	if held.number != number {
		held.number, held.revision = number, 0
	}
	return claim{
		handle: handle, key: passKey(handle.Info().ID, number), revision: held.revision, requests: cut.requests, coldFor: handle.ColdFor(now),
	}, true
}

// claim claims passes and takes in those that this node holds then.
func (s *Service) claim(ctx context.Context, wanted []claim) {
	s.claimer.node = string(s.options.Viewer.View().Self)
	held, err := s.claimer.claimAll(ctx, wanted)
	again := clock.Now().Add(claimAgain)
	if err == nil {
		again = clock.Now().Add(heldElsewhere)
	}
	for _, each := range wanted {
		s.held[each.handle].notBefore = again
		s.held[each.handle].revision = 0
	}
	for _, each := range held {
		s.take(each)
	}
	s.metrics.claims.WithLabelValues(verdictAdmitted).Add(float64(len(held)))
	s.metrics.claims.WithLabelValues(verdictRefused).Add(float64(len(wanted) - len(held)))
	if err != nil {
		// Without a pass nothing is sent there, which is the safe side; the next claim follows after claimAgain.
		s.logger.Warn().Err(err).Int("wanted", len(wanted)).Msg("cold_passes_not_claimed")
		return
	}
	s.logger.Info().Int("wanted", len(wanted)).Int("held", len(held)).Msg("cold_passes_claimed")
}

// take takes in a pass. One that goes on under a new lease keeps the count of what it has admitted.
func (s *Service) take(brought won) {
	handle, held := brought.claim.handle, s.held[brought.claim.handle]
	held.revision = brought.revision
	held.notBefore = time.Time{}
	if pass := handle.ColdPass(); pass != nil {
		pass.Extend(brought.until)
		return
	}
	handle.SetColdPass(replica.NewColdPass(brought.claim.requests, brought.until))
}
