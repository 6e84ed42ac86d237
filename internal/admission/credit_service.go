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

// Log fields of this slice.
const (
	fieldCredits = "credits"
	fieldOnline  = "online"
)

const (
	creditEventQueue = 8192
	creditTick       = 10 * time.Millisecond
	renewTimeout     = 300 * time.Millisecond
	answerTimeout    = time.Second
)

// CreditService is the CreditSource of one node and, for the replicas that the node
// is home to, the grantor of credits. One goroutine owns both states.
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

	// mutex guards all below.
	mutex   sync.Mutex
	nextID  uint64
	items   map[uint64]*pendingItem
	inUse   map[creditKey]*usedCredit
	signals map[string]int
	flush   *time.Timer
}

// pendingItem is an Acquire that has not returned; credit has room for one value.
type pendingItem struct {
	request *BatchRequest
	credit  chan *Credit
}

// usedCredit is a Credit that was handed out.
type usedCredit struct{ revoked chan struct{} }

type creditMetrics struct {
	granted *prometheus.CounterVec
	out     prometheus.Gauge
}

// NewCreditService returns a CreditService that is not started.
func NewCreditService(options Options, own settings.Settings, replicas *fleet.Service, router *routing.Service,
	viewer membership.Viewer, source config.Source, caller transport.Caller, registerer prometheus.Registerer,
	logger zerolog.Logger) *CreditService {
	service := &CreditService{
		options: options, settings: own, fleet: replicas, router: router, viewer: viewer, config: source, caller: caller,
		logger: logger.With().Str(logging.FieldSlice, "admission").Logger(),
		metrics: creditMetrics{
			granted: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "sloelift_credits_total", Help: "Batch credits at their requester, by event.",
			}, []string{"event"}),
			out: prometheus.NewGauge(prometheus.GaugeOpts{
				Name: "sloelift_credits_in_use", Help: "Batch credits in use by items of this node.",
			}),
		},
		events:  make(chan event, creditEventQueue),
		stopped: make(chan struct{}),
		items:   make(map[uint64]*pendingItem),
		inUse:   make(map[creditKey]*usedCredit),
		signals: make(map[string]int),
	}
	registerer.MustRegister(service.metrics.granted, service.metrics.out)
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

// Stop ends the goroutines and waits for them. Credits in use lapse.
func (s *CreditService) Stop() {
	if s.cancel == nil {
		return
	}
	close(s.stopped)
	s.cancel()
	s.running.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.flush != nil {
		s.flush.Stop()
	}
	for _, used := range s.inUse {
		close(used.revoked)
	}
	clear(s.inUse)
}

// Acquire waits until an idle replica is granted or ctx ends.
func (s *CreditService) Acquire(ctx context.Context, request BatchRequest) (*Credit, error) {
	request.Routing.Batch = true
	pending := &pendingItem{request: &request, credit: make(chan *Credit, 1)}
	s.mutex.Lock()
	s.nextID++
	id := s.nextID
	s.items[id] = pending
	s.mutex.Unlock()
	s.push(itemWaits{item: id, request: &request})
	select {
	case credit := <-pending.credit:
		return credit, nil
	case <-ctx.Done():
	}
	s.mutex.Lock()
	_, waits := s.items[id]
	delete(s.items, id)
	s.mutex.Unlock()
	if !waits {
		(<-pending.credit).Release() // granted just then
	} else {
		s.push(itemLeaves{item: id})
	}
	return nil, ctx.Err()
}

func (s *CreditService) push(input event) {
	select {
	case s.events <- input:
	case <-s.stopped:
	}
}

// control owns the states.
func (s *CreditService) control(ctx context.Context) {
	home := newHomeState(s.options, s.settings.Node, rand.Uint64())
	requester := newRequesterState(s.options, s.settings.Node, s.router.Overlap, s.isClosed)
	changed := make(chan struct{}, 1)
	wake := func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	defer s.fleet.Subscribe(func(*fleet.Directory) { wake() })()
	defer s.viewer.Subscribe(func(*membership.View) { wake() })()
	defer s.config.Subscribe(func(*config.Snapshot) { wake() })()
	defer s.fleet.SubscribeLoad(func(replica string, report engine.LoadReport, at time.Time) {
		select {
		case s.events <- loadHeard{replica: replica, report: report, heardAt: at}:
		default: // the next report follows soon
		}
	})()
	wake()
	ticker := time.NewTicker(creditTick)
	defer ticker.Stop()
	for {
		var input event
		select {
		case <-ctx.Done():
			return
		case <-changed:
			input = s.homes()
		case input = <-s.events:
		case <-ticker.C:
			input = ticked{}
		}
		now := time.Now()
		actions := append(home.step(now, input), requester.step(now, input)...)
		for _, output := range actions {
			s.perform(ctx, output)
		}
	}
}

// homes lists the replicas that this node is home to.
func (s *CreditService) homes() homesChanged {
	members := s.viewer.View().Members
	services := s.config.Current().Services
	var changed homesChanged
	for _, replica := range s.fleet.Directory().Replicas {
		home, ok := fleet.Home(members, replica.ID, replica.Zone)
		if !ok || string(home.ID) != s.settings.Node {
			continue
		}
		homed := homedReplica{
			id: replica.ID, service: replica.Service, closed: closed(&replica), lost: replica.Failed && !replica.HasLoad,
		}
		if service := services[replica.Service]; service != nil {
			homed.batchLimit = service.BatchConcurrentPerReplica
		}
		changed.replicas = append(changed.replicas, homed)
	}
	return changed
}

// closed says that a replica takes no new batch items.
func closed(replica *fleet.Replica) bool {
	return replica.Leaving || replica.Failed || replica.Draining()
}

// isClosed says the same of a replica by its id; one that isn't listed is closed.
func (s *CreditService) isClosed(id string) bool {
	replica := s.fleet.Directory().Find(id)
	return replica == nil || closed(replica)
}

func (s *CreditService) perform(ctx context.Context, output action) {
	switch typed := output.(type) {
	case sendGrants:
		s.background(func() { s.offer(ctx, typed) })
	case sendRevoke:
		s.sendTo(typed.requester, methodRevoke, typed.revoke, revokeHeard{revoke: typed.revoke}, s.pushLater)
	case noteRevoked:
		s.logger.Info().Str(logging.FieldReplica, typed.replica).Int(fieldCredits, typed.count).Int(fieldOnline, typed.online).
			Str(logging.FieldReason, string(typed.reason)).Msg("credits revoked")
	case noteLapsed:
		s.metrics.granted.WithLabelValues("lapsed").Inc()
		s.logger.Warn().Str(logging.FieldReplica, typed.replica).Str(logging.FieldPeer, typed.key.home).Msg("credit lapsed")
	case answerRenew:
		typed.reply <- typed.response
	case deliverCredit:
		s.deliver(typed)
	case takeCredit:
		s.take(typed.key)
	case answerGrants:
		typed.reply <- typed.response
	case sendDemand:
		s.announce(typed.demand)
	case sendRenew:
		s.background(func() { s.renew(ctx, typed) })
	case sendRelease:
		s.metrics.granted.WithLabelValues("released").Inc()
		s.sendTo(typed.home, methodRelease, typed.release, releaseHeard{release: typed.release}, s.pushLater)
	}
}

// pushLater is push for the control goroutine, which must not wait for itself.
func (s *CreditService) pushLater(input event) {
	select {
	case s.events <- input:
	default:
		s.background(func() { s.push(input) })
	}
}

func (s *CreditService) background(work func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		work()
	}()
}

// deliver hands a credit to its item, or gives it back if the item has just left.
func (s *CreditService) deliver(granted deliverCredit) {
	s.mutex.Lock()
	pending := s.items[granted.item]
	delete(s.items, granted.item)
	if pending != nil {
		s.inUse[granted.key] = &usedCredit{revoked: make(chan struct{})}
	}
	used := s.inUse[granted.key]
	s.mutex.Unlock()
	if pending == nil {
		s.pushLater(creditEnded{key: granted.key})
		return
	}
	s.metrics.granted.WithLabelValues("granted").Inc()
	s.metrics.out.Inc()
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
	delete(s.inUse, key)
	s.mutex.Unlock()
	s.metrics.out.Dec()
	s.push(creditEnded{key: key})
}

func (s *CreditService) take(key creditKey) {
	s.mutex.Lock()
	used := s.inUse[key]
	delete(s.inUse, key)
	s.mutex.Unlock()
	if used != nil {
		s.metrics.granted.WithLabelValues("revoked").Inc()
		close(used.revoked)
	}
}

// address returns the peer address of a node.
func (s *CreditService) address(node string) (netip.AddrPort, bool) {
	member, ok := s.viewer.View().Find(membership.NodeID(node))
	return member.PeerAddress, ok
}
