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
	// checkInterval is how often the replicas are checked for ones that turned cold or warm, in addition to each change of the directory,
	// after which they are checked at once.
	checkInterval = 200 * time.Millisecond
	// claimRetryInterval is the wait after a failed claim: a call to the key-value service is a cost, and a replica is cold for
	// only some seconds. heldElsewhereRetry is the wait after an answered claim, for passes that another node holds.
	claimRetryInterval = time.Second
	heldElsewhereRetry = 2 * time.Second
	// demandWindow is how long after a request could have used a cold replica this node still claims a pass for it. Passes for
	// replicas without demand here are left to other nodes.
	demandWindow = time.Second
	// logInterval is the minimum time between two log lines on refused requests.
	logInterval = time.Second
	// assumedColdDuration is how long a new replica counts as cold while no configuration, and so no declared cold start time of its
	// service, is known. Replicas are cold for a few seconds.
	assumedColdDuration = 5 * time.Second
)

// Options configure a Service.
type Options struct {
	Bounds    Bounds
	Routes    *route.Holder
	Directory *replica.Directory
	// Store is nil at a node that never sends to cold replicas.
	Store      platform.KeyValue
	Viewer     membership.Viewer
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service is the Limiter of one node. While started, it claims passes for cold replicas.
type Service struct {
	options Options
	logger  zerolog.Logger
	metrics metrics
	refused refusals
	// coldReplicas holds the state of each cold replica; only the goroutine of run uses it.
	coldReplicas map[*replica.Handle]*coldState
	claimer      claimer

	changed     chan struct{}
	unsubscribe []func()
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// coldState is the state of this node's pass for one cold replica.
type coldState struct {
	number   int
	revision int64
	// nextClaimAt is the earliest time at which a pass may be claimed again.
	nextClaimAt time.Time
}

// New returns a Service, and makes replicas that appear in the directory from now on count as cold. Nothing runs before Start.
func New(options Options) *Service {
	service := &Service{
		options: options, logger: options.Logger.With().Str(logging.FieldSlice, "coldstart").Logger(),
		metrics: newMetrics(options.Registerer), coldReplicas: map[*replica.Handle]*coldState{}, claimer: claimer{store: options.Store},
		changed: make(chan struct{}, 1),
	}
	options.Directory.SetColdTerms(service.coldTerms)
	return service
}

var _ Limiter = (*Service)(nil)

// Start starts to claim passes in the background.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.unsubscribe = []func(){
		s.options.Directory.Subscribe(func(*replica.View) { s.signal() }),
		s.options.Routes.Subscribe(func(*route.Table) { s.options.Directory.SetColdTerms(s.coldTerms) }),
	}
	// The configuration may have been loaded before the subscription.
	s.options.Directory.SetColdTerms(s.coldTerms)
	s.running.Go(func() { s.run(ctx) })
}

// Stop stops the Service. Its keys in the key-value service end with their leases.
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

// coldTerms reports whether the named service bounds requests to its cold replicas, and how long a new replica is assumed to be cold.
func (s *Service) coldTerms(name string) (assumed time.Duration, bounded bool) {
	table := s.options.Routes.Table()
	if table == nil {
		return assumedColdDuration, true
	}
	service := table.Services[name]
	return service.ColdStart, service.ColdRequestsPerSecond > 0
}

// Take admits a request to a replica that is warm, or that this node holds a pass for.
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

// check finds replicas that turned cold or warm, and claims missing passes.
func (s *Service) check(ctx context.Context) {
	now := clock.Now()
	s.logRefusals(now)
	view := s.options.Directory.View()
	s.removeWarm(view, now)
	var wanted []claim
	for handle := range view.All() {
		if !handle.Cold(now) {
			continue
		}
		if request, needed := s.neededClaim(handle, now); needed {
			wanted = append(wanted, request)
		}
	}
	s.metrics.cold.Set(float64(len(s.coldReplicas)))
	for len(wanted) > 0 && ctx.Err() == nil {
		count := min(maxClaimsPerTransaction, len(wanted))
		s.claim(ctx, wanted[:count])
		wanted = wanted[count:]
	}
}

// removeWarm removes the state of replicas that are warm or no longer in the directory.
func (s *Service) removeWarm(view *replica.View, now time.Time) {
	for handle := range s.coldReplicas {
		if handle.Cold(now) && view.Find(handle.Info().ID) == handle {
			continue
		}
		delete(s.coldReplicas, handle)
		s.logger.Info().Str(logging.FieldReplica, handle.Info().ID).Bool("gone", handle.Cold(now)).Msg("replica_warm")
	}
}

// neededClaim returns the claim of the pass that this node should hold for a cold replica; needed is false if the node holds it already,
// or should hold none.
func (s *Service) neededClaim(handle *replica.Handle, now time.Time) (request claim, needed bool) {
	state := s.coldReplicas[handle]
	if state == nil {
		state = &coldState{}
		s.coldReplicas[handle] = state
		s.logger.Info().Str(logging.FieldReplica, handle.Info().ID).Str("replica_zone", handle.Info().Zone).
			Dur("cold_for", handle.ColdFor(now)).Msg("replica_cold")
	}
	table := s.options.Routes.Table()
	if s.options.Store == nil || table == nil || now.Before(state.nextClaimAt) || !handle.Usable() || !handle.ColdWanted(now.Add(-demandWindow)) {
		return claim{}, false
	}
	if pass := handle.ColdPass(); pass != nil && !pass.Until().Before(now.Add(min(claimRetryInterval, handle.ColdFor(now)))) {
		return claim{}, false
	}
	division := s.options.Bounds.divide(table.Services[handle.Info().Service])
	number, assigned := passNumber(s.options.Viewer.View(), handle.Info().ID, handle.Info().Zone, division.passes)
	if !assigned {
		return claim{}, false
	}
	if state.number != number {
		state.number, state.revision = number, 0
	}
	return claim{
		handle: handle, key: passKey(handle.Info().ID, number), revision: state.revision, requests: division.requests, coldFor: handle.ColdFor(now),
	}, true
}

// claim claims passes and puts those that were granted to use.
func (s *Service) claim(ctx context.Context, wanted []claim) {
	s.claimer.node = string(s.options.Viewer.View().Self)
	held, err := s.claimer.claimAll(ctx, wanted)
	retryAt := clock.Now().Add(claimRetryInterval)
	if err == nil {
		retryAt = clock.Now().Add(heldElsewhereRetry)
	}
	for _, request := range wanted {
		s.coldReplicas[request.handle].nextClaimAt = retryAt
		s.coldReplicas[request.handle].revision = 0
	}
	for _, pass := range held {
		s.usePass(pass)
	}
	s.metrics.claims.WithLabelValues(verdictAdmitted).Add(float64(len(held)))
	s.metrics.claims.WithLabelValues(verdictRefused).Add(float64(len(wanted) - len(held)))
	if err != nil {
		// Without a pass nothing is sent to the replica, which is safe; the next claim follows after claimRetryInterval.
		s.logger.Warn().Err(err).Int("wanted", len(wanted)).Msg("cold_passes_not_claimed")
		return
	}
	s.logger.Info().Int("wanted", len(wanted)).Int("held", len(held)).Msg("cold_passes_claimed")
}

// usePass sets the pass of a replica. A pass that continues under a new lease keeps the count of the requests it has admitted.
func (s *Service) usePass(granted heldPass) {
	handle, state := granted.claim.handle, s.coldReplicas[granted.claim.handle]
	state.revision = granted.revision
	state.nextClaimAt = time.Time{}
	if pass := handle.ColdPass(); pass != nil {
		pass.Extend(granted.until)
		return
	}
	handle.SetColdPass(replica.NewColdPass(granted.claim.requests, granted.until))
}
