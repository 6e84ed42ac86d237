package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	tickInterval = 100 * time.Millisecond
	// eventBuffer is how many events are queued for the control goroutine before senders block.
	eventBuffer  = 64
	storeTimeout = 5 * time.Second
	pullTimeout  = time.Second
	// reportInterval is the minimum time between two log lines of the same problem.
	reportInterval = 30 * time.Second
)

// RevisionReporter is notified of the revision in force on this node.
type RevisionReporter interface {
	SetConfigRevision(revision int64)
}

// Options of a Service. Reporter, DataFolder and Seed are optional.
type Options struct {
	Self     membership.Member
	Viewer   membership.Viewer
	Caller   transport.Caller
	KeyValue platform.KeyValue
	Reporter RevisionReporter
	Logger   zerolog.Logger
	// DataFolder stores the last configuration for a restart; empty on a node without persistent storage.
	DataFolder string
	// Registerer is used to register the metrics.
	Registerer prometheus.Registerer
	// Seed determines the random choices; 0 selects a random seed.
	Seed uint64
}

// Service runs the protocol and provides the configuration in force. It is a
// config.Source and safe for concurrent use.
type Service struct {
	options Options
	logger  zerolog.Logger
	events  chan event
	ready   chan struct{}
	// inForce and latest are written by the control goroutine only. latest is newer than
	// inForce if this node cannot parse it or is not ready.
	inForce atomic.Pointer[config.Snapshot]
	latest  atomic.Pointer[document]

	// changed signals, at least once after each change, that latest must be saved.
	changed     chan struct{}
	subscribers subscription.List[*config.Snapshot]
	metrics     *metrics
	busy        atomic.Int64

	stop    context.CancelFunc
	running sync.WaitGroup

	// The fields below belong to the control goroutine.
	protocol   *protocol
	stopWatch  context.CancelFunc
	reportedAt map[problem]time.Time
}

var _ config.Source = (*Service)(nil)

// New returns a Service that is not running, and registers its handlers.
func New(options Options, registrar transport.Registrar) (*Service, error) {
	created, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	service := &Service{
		options:    options,
		logger:     options.Logger.With().Str(logging.FieldSlice, "config").Logger(),
		events:     make(chan event, eventBuffer),
		ready:      make(chan struct{}),
		protocol:   newProtocol(options.Self, seed),
		stopWatch:  func() {},
		reportedAt: make(map[problem]time.Time),
		metrics:    created,
		changed:    make(chan struct{}, 1),
	}
	empty, err := config.BuildSnapshot(0, nil)
	if err != nil {
		panic(err) // An empty list has no duplicate declarations.
	}
	service.inForce.Store(empty)
	service.register(registrar)
	return service, nil
}

// Current returns the Snapshot in force. Until the node is ready this is the empty configuration of
// revision 0, so that nothing is served with an older revision than before a restart.
func (s *Service) Current() *config.Snapshot { return s.inForce.Load() }

// Ready is closed once this node may serve with Current: the key-value service or enough
// peers have confirmed that it is not older than the revision in force before a restart.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Subscribe calls notify after each change, on the control goroutine.
func (s *Service) Subscribe(notify func(*config.Snapshot)) (unsubscribe func()) {
	return s.subscribers.Add(notify)
}

// Busy returns the total time that the control goroutine has spent on events.
func (s *Service) Busy() time.Duration { return time.Duration(s.busy.Load()) }

// Start starts the control goroutine, which runs until Stop.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.running.Go(func() { s.run(ctx) })
}

// Stop ends all goroutines of the service.
func (s *Service) Stop() {
	if s.stop != nil {
		s.stop()
		s.running.Wait()
	}
}

func (s *Service) run(ctx context.Context) {
	viewChanged := make(chan struct{}, 1)
	unsubscribe := s.options.Viewer.Subscribe(func(*membership.View) {
		subscription.Signal(viewChanged)
	})
	defer unsubscribe()
	started := clock.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.handle(ctx, eventView{view: s.options.Viewer.View()})
	if saved := s.startCache(ctx); saved != nil {
		s.handle(ctx, eventSaved{document: saved})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.handle(ctx, eventTick{now: clock.Since(started)})
		case <-viewChanged:
			s.handle(ctx, eventView{view: s.options.Viewer.View()})
		case next := <-s.events:
			s.handle(ctx, next)
		}
	}
}

// post sends an event to the control goroutine; it gives up when ctx ends.
func (s *Service) post(ctx context.Context, next event) {
	select {
	case s.events <- next:
	case <-ctx.Done():
	}
}

func (s *Service) handle(ctx context.Context, input event) {
	started := clock.Now()
	defer func() { s.busy.Add(int64(clock.Since(started))) }()
	for _, output := range s.protocol.step(input) {
		s.perform(ctx, output)
	}
	// A step may update the store's revision without a change of the configuration.
	s.latest.Store(s.protocol.latest)
}

func (s *Service) perform(ctx context.Context, output action) {
	switch typed := output.(type) {
	case actionPublish:
		s.publish(typed.document)
	case actionReady:
		s.logger.Info().Int64(logging.FieldRevision, s.Current().Revision).Msg("configuration_ready")
		close(s.ready)
	case actionList:
		s.running.Go(func() { s.list(ctx) })
	case actionReadHead:
		s.running.Go(func() { s.readHead(ctx) })
	case actionWatch:
		s.stopWatch()
		watchContext, cancel := context.WithCancel(ctx)
		s.stopWatch = cancel
		s.running.Go(func() { s.watch(watchContext, typed) })
	case actionStopWatch:
		s.stopWatch()
	case actionSendDelta:
		s.sendDelta(typed)
	case actionSendDigest:
		// A lost digest is compensated by the next one.
		_ = s.options.Caller.Send(typed.to, methodDigest, encodeDigest(typed.digest))
	case actionPull:
		s.metrics.pulls.Inc()
		s.running.Go(func() { s.pull(ctx, typed) })
	case actionReport:
		s.report(typed)
	}
}

// publish puts a document in force. If this node cannot parse it, the current Snapshot
// stays in force here, while the document is still relayed to other nodes.
func (s *Service) publish(next *document) {
	s.latest.Store(next)
	subscription.Signal(s.changed)
	snapshot, err := snapshotOf(next)
	if err != nil {
		s.logger.Error().Err(err).Int64(logging.FieldRevision, next.revision).Msg("configuration_unreadable")
		return
	}
	s.inForce.Store(snapshot)
	s.metrics.revision.Set(float64(snapshot.Revision))
	s.logger.Info().Int64(logging.FieldRevision, snapshot.Revision).Msg("configuration_in_force")
	if s.options.Reporter != nil {
		s.options.Reporter.SetConfigRevision(snapshot.Revision)
	}
	s.subscribers.Notify(snapshot)
}

func (s *Service) report(reported actionReport) {
	s.metrics.problems.WithLabelValues(string(reported.problem)).Inc()
	now := clock.Now()
	last, before := s.reportedAt[reported.problem]
	if before && now.Sub(last) < reportInterval {
		return
	}
	s.reportedAt[reported.problem] = now
	line := s.logger.Warn().Err(reported.err).Int64(logging.FieldRevision, s.Current().Revision)
	if reported.from.IsValid() {
		line = line.Stringer(logging.FieldPeer, reported.from)
	}
	line.Msg(string(reported.problem))
}
