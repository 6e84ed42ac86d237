package admission

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

// Log fields of this package.
const (
	fieldCredits = "credits"
	fieldOnline  = "online"
)

const (
	creditEventCapacity = 8192
	creditTickInterval  = 10 * time.Millisecond
	renewTimeout        = 300 * time.Millisecond
	replyTimeout        = time.Second
)

// CreditService is the CreditSource of one node. It also grants the credits of the replicas
// that the node is home to. One control goroutine owns the state of both roles.
type CreditService struct {
	options  Options
	settings settings.Settings
	fleet    *fleet.Service
	router   *routing.Service
	viewer   membership.Viewer
	config   config.Source
	caller   transport.Caller
	logger   zerolog.Logger
	metrics  creditMetrics

	events  chan event
	stopped chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup

	// mutex guards the fields below.
	mutex        sync.Mutex
	nextID       uint64
	pending      map[uint64]*pendingAcquire
	active       map[creditKey]*activeCredit
	unsentStarts map[string]int
	flushTimer   *time.Timer
}

// pendingAcquire is a call of Acquire that waits. credit is buffered for one value.
type pendingAcquire struct {
	request *BatchRequest
	credit  chan *Credit
}

// activeCredit is a Credit that an item holds; revoked is its Credit.Revoked.
type activeCredit struct{ revoked chan struct{} }

type creditMetrics struct {
	events *prometheus.CounterVec
	inUse  prometheus.Gauge
}

// NewCreditService returns a CreditService; Start starts it.
func NewCreditService(options Options, nodeSettings settings.Settings, replicas *fleet.Service, router *routing.Service,
	viewer membership.Viewer, source config.Source, caller transport.Caller, registerer prometheus.Registerer,
	logger zerolog.Logger) *CreditService {
	service := &CreditService{
		options: options, settings: nodeSettings, fleet: replicas, router: router, viewer: viewer, config: source, caller: caller,
		logger: logger.With().Str(logging.FieldSlice, "admission").Logger(),
		metrics: creditMetrics{
			events: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "sloelift_credits_total", Help: "Batch credits at their requester, by event.",
			}, []string{"event"}),
			inUse: prometheus.NewGauge(prometheus.GaugeOpts{
				Name: "sloelift_credits_in_use", Help: "Batch credits in use by items of this node.",
			}),
		},
		events:       make(chan event, creditEventCapacity),
		stopped:      make(chan struct{}),
		pending:      make(map[uint64]*pendingAcquire),
		active:       make(map[creditKey]*activeCredit),
		unsentStarts: make(map[string]int),
	}
	registerer.MustRegister(service.metrics.events, service.metrics.inUse)
	return service
}

// Start starts the control goroutine.
func (s *CreditService) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.control(ctx)
	}()
}

// Stop stops the goroutines, waits for them, and revokes the credits in use without releasing
// them; they expire at their home nodes.
func (s *CreditService) Stop() {
	if s.cancel == nil {
		return
	}
	close(s.stopped)
	s.cancel()
	s.running.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.flushTimer != nil {
		s.flushTimer.Stop()
	}
	for _, used := range s.active {
		close(used.revoked)
	}
	clear(s.active)
}

// Acquire implements CreditSource.
func (s *CreditService) Acquire(ctx context.Context, request BatchRequest) (*Credit, error) {
	request.Routing.Batch = true
	pending := &pendingAcquire{request: &request, credit: make(chan *Credit, 1)}
	s.mutex.Lock()
	s.nextID++
	id := s.nextID
	s.pending[id] = pending
	s.mutex.Unlock()
	s.enqueue(itemQueued{item: id, request: &request})
	select {
	case credit := <-pending.credit:
		return credit, nil
	case <-ctx.Done():
	}
	s.mutex.Lock()
	_, stillPending := s.pending[id]
	delete(s.pending, id)
	s.mutex.Unlock()
	if !stillPending {
		(<-pending.credit).Release() // granted while ctx ended
	} else {
		s.enqueue(itemCancelled{item: id})
	}
	return nil, ctx.Err()
}

// enqueue passes an event to the control goroutine. It blocks while the event queue is full and
// discards the event once the service has stopped.
func (s *CreditService) enqueue(input event) {
	select {
	case s.events <- input:
	case <-s.stopped:
	}
}

// control is the control goroutine: it owns the home and requester states, feeds them events,
// and executes the resulting actions.
func (s *CreditService) control(ctx context.Context) {
	home := newHomeState(s.options, s.settings.Node, rand.Uint64())
	requester := newRequesterState(s.options, s.settings.Node, s.router.Overlap, s.replicaClosed)
	changed := make(chan struct{}, 1)
	wake := func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	defer s.fleet.Subscribe(func(*fleet.Directory) { wake() })()
	defer s.config.Subscribe(func(*config.Snapshot) { wake() })()
	defer s.fleet.SubscribeLoad(func(replica string, report engine.LoadReport, at time.Time) {
		select {
		case s.events <- loadReported{replica: replica, report: report, receivedAt: at}:
		default: // dropped: the next report follows soon
		}
	})()
	wake()
	ticker := time.NewTicker(creditTickInterval)
	defer ticker.Stop()
	for {
		var input event
		select {
		case <-ctx.Done():
			return
		case <-changed:
			input = s.homedReplicas()
		case input = <-s.events:
		case <-ticker.C:
			input = tick{}
		}
		now := time.Now()
		actions := append(home.step(now, input), requester.step(now, input)...)
		for _, output := range actions {
			s.execute(ctx, output)
		}
	}
}

// homedReplicas returns the replicas that this node is home to.
func (s *CreditService) homedReplicas() homedReplicasChanged {
	services := s.config.Current().Services
	var changed homedReplicasChanged
	for _, replica := range s.fleet.Directory().Replicas {
		if string(replica.Home) != s.settings.Node {
			continue
		}
		homed := homedReplica{
			id: replica.ID, service: replica.Service, closed: closedToBatch(&replica), lost: replica.Failed && !replica.HasLoad,
		}
		if service := services[replica.Service]; service != nil {
			homed.batchLimit = service.BatchConcurrentPerReplica
		}
		changed.replicas = append(changed.replicas, homed)
	}
	return changed
}

// closedToBatch reports whether a replica takes no new batch items.
func closedToBatch(replica *fleet.Replica) bool {
	return replica.Leaving || replica.Failed || replica.Draining()
}

// replicaClosed reports whether the replica with the given id takes no new batch items. One
// that is not in the directory takes none.
func (s *CreditService) replicaClosed(id string) bool {
	replica := s.fleet.Directory().Find(id)
	return replica == nil || closedToBatch(replica)
}

// execute carries out one action. It runs on the control goroutine and must not block.
func (s *CreditService) execute(ctx context.Context, output action) {
	switch typed := output.(type) {
	case sendGrants:
		s.background(func() { s.callGrant(ctx, typed) })
	case sendRevoke:
		s.sendTo(typed.requester, methodRevoke, typed.revoke, revokeReceived{revoke: typed.revoke}, s.enqueueAsync)
	case recordRevocation:
		s.logger.Info().Str(logging.FieldReplica, typed.replica).Int(fieldCredits, typed.count).Int(fieldOnline, typed.online).
			Str(logging.FieldReason, string(typed.reason)).Msg("credits revoked")
	case recordLapse:
		s.metrics.events.WithLabelValues("lapsed").Inc()
		s.logger.Warn().Str(logging.FieldReplica, typed.replica).Str(logging.FieldPeer, typed.key.home).Msg("credit lapsed")
	case replyRenew:
		typed.reply <- typed.response
	case deliverCredit:
		s.deliver(typed)
	case withdrawCredit:
		s.withdraw(typed.key)
	case replyGrants:
		typed.reply <- typed.response
	case sendDemand:
		s.announceDemand(typed.demand)
	case sendRenew:
		s.background(func() { s.callRenew(ctx, typed) })
	case sendRelease:
		s.metrics.events.WithLabelValues("released").Inc()
		s.sendTo(typed.home, methodRelease, typed.release, releaseReceived{release: typed.release}, s.enqueueAsync)
	}
}

// enqueueAsync enqueues an event without blocking. The control goroutine uses it, since it would
// deadlock if it waited for its own full queue.
func (s *CreditService) enqueueAsync(input event) {
	select {
	case s.events <- input:
	default:
		s.background(func() { s.enqueue(input) })
	}
}

// background runs work on a goroutine that Stop waits for.
func (s *CreditService) background(work func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		work()
	}()
}

// deliver passes a credit to the Acquire that waits for it, or returns the credit if that call
// has ended.
func (s *CreditService) deliver(granted deliverCredit) {
	s.mutex.Lock()
	pending := s.pending[granted.item]
	delete(s.pending, granted.item)
	if pending != nil {
		s.active[granted.key] = &activeCredit{revoked: make(chan struct{})}
	}
	used := s.active[granted.key]
	s.mutex.Unlock()
	if pending == nil {
		s.enqueueAsync(creditReturned{key: granted.key})
		return
	}
	s.metrics.events.WithLabelValues("granted").Inc()
	s.metrics.inUse.Inc()
	decision := routing.Decision{Endpoint: engine.Endpoint{Replica: granted.replica}}
	if replica := s.fleet.Directory().Find(granted.replica); replica != nil {
		decision.Endpoint, decision.Zone = replica.Endpoint, replica.Zone
	}
	decision.ExpectedBlocks = int(s.router.Overlap(granted.replica, pending.request.Routing.PrefixBlocks))
	done := s.router.Started(granted.replica, pending.request.Routing)
	pending.credit <- &Credit{
		Decision: decision, Expires: granted.expires, Revoked: used.revoked,
		Release: sync.OnceFunc(func() {
			done()
			s.release(granted.key)
		}),
	}
}

func (s *CreditService) release(key creditKey) {
	s.mutex.Lock()
	delete(s.active, key)
	s.mutex.Unlock()
	s.metrics.inUse.Dec()
	s.enqueue(creditReturned{key: key})
}

// withdraw closes Credit.Revoked of a credit that is in use.
func (s *CreditService) withdraw(key creditKey) {
	s.mutex.Lock()
	used := s.active[key]
	delete(s.active, key)
	s.mutex.Unlock()
	if used != nil {
		s.metrics.events.WithLabelValues("revoked").Inc()
		close(used.revoked)
	}
}

// peerAddress returns the peer address of a node, and whether the node is a member.
func (s *CreditService) peerAddress(node string) (netip.AddrPort, bool) {
	member, ok := s.viewer.View().Find(membership.NodeID(node))
	return member.PeerAddress, ok
}
