package loadshare

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	methodReport transport.Method = "loadshare.report"
	methodAsk    transport.Method = "loadshare.ask"
	methodRelay  transport.Method = "loadshare.relay"
	// methodAskFor and methodReportFor are queries and reports for a node to relay to its exchange.
	methodAskFor    transport.Method = "loadshare.ask_for"
	methodReportFor transport.Method = "loadshare.report_for"
	// reportInterval is the minimum time between two reports of a node, and how often an exchange checks whether its sums have changed. With
	// bursts in which a zone starts a request every 5 ms, and an interval of 40 ms, 35 in 100 requests were sent to a replica that had 6 to
	// 10 requests at its 6 slots, 4.7 of them known to the sender. With 10 ms it was 32 in 100, and most of the unknown requests were less
	// than 5 ms old.
	reportInterval = 5 * time.Millisecond
	// reportDelay is how long a node waits after a change before it reports, since one request changes several counts in succession.
	reportDelay = 500 * time.Microsecond
	// ownerQueryInterval is how often a node with batch items queries. It is short because items must yield to callers' requests at once.
	ownerQueryInterval = 20 * time.Millisecond
	// standbyQueryInterval is how often a storage node queries while it owns no batch items. It may own some at any moment, and then plans
	// by the slots that items had recently.
	standbyQueryInterval = 250 * time.Millisecond
	// unchangedReportInterval is how often a node repeats an unchanged report. A storage node repeats only non-zero ones.
	unchangedReportInterval = 500 * time.Millisecond
	// unchangedRelayInterval is how often an exchange relays to the others when nothing has changed.
	unchangedRelayInterval = 250 * time.Millisecond
	// fullRelayInterval is how often a relay carries all loads instead of only the changed ones.
	fullRelayInterval = time.Second
)

// Options configures a Service.
type Options struct {
	Zone string
	// Kind is what this node's requests at replicas are for: callers' requests or batch items.
	Kind loadsharepb.Kind
	// OwnsItems reports whether this node owns batch items that wait or run; nil means that it never does.
	OwnsItems func() bool
	// Demands returns the callers' requests at this node by service; nil means none.
	Demands func() map[string]Demand
	// OnAnswer, if set, is called after each answer.
	OnAnswer func()
}

// Service reports this node's load and keeps the load of the other nodes. On a storage node it also acts as an exchange. It is safe for
// concurrent use once started.
type Service struct {
	options    Options
	directory  *replica.Directory
	viewer     membership.Viewer
	caller     transport.Caller
	board      *Board
	fleet      *fleet
	topologies membership.ViewCache[topology]
	queries    queries
	logger     zerolog.Logger

	run        uint64
	sequence   atomic.Uint64
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// mutex guards the fields below.
	mutex sync.Mutex
	// reportedLoad is what was reported last, by a report or a query, at reportedAt.
	reportedLoad nodeLoad
	reportedAt   time.Time
	// sentAt is when the last report was sent. Queries do not count: the request that a query was made for must be reported at once.
	sentAt time.Time
	// route is the one used last; routeChangedAt is when it replaced another one.
	route          route
	routeChangedAt time.Time

	// The fields below are used only by the reporting goroutine.

	// relayedVersion is the Board's version that was last relayed to the other exchanges.
	relayedVersion uint64
	relayedAt      time.Time
	fullRelayAt    time.Time
	// standbyQueryAt is when this node last queried without owning items.
	standbyQueryAt time.Time
}

// New returns a Service and registers its transport methods; nothing is sent before Start.
func New(
	options Options, directory *replica.Directory, viewer membership.Viewer, caller transport.Caller, registrar transport.Registrar,
	logger zerolog.Logger,
) *Service {
	now := clock.Now()
	service := &Service{
		options: options, directory: directory, viewer: viewer, caller: caller,
		board: NewBoard(now), fleet: newFleet(now), run: rand.Uint64(),
		logger: logger.With().Str(logging.FieldSlice, "loadshare").Logger(),
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	registrar.Handle(methodRelay, func() proto.Message { return &loadsharepb.ExchangeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			service.board.recordRelay(from, message.(*loadsharepb.ExchangeLoad), clock.Now())
			return nil, nil
		})
	registrar.Handle(methodReport, func() proto.Message { return &loadsharepb.NodeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			load := message.(*loadsharepb.NodeLoad)
			service.board.recordReport(reporterOf(from, load), load, clock.Now())
			return nil, nil
		})
	registrar.Handle(methodAsk, func() proto.Message { return &loadsharepb.NodeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			load := message.(*loadsharepb.NodeLoad)
			service.board.recordReport(reporterOf(from, load), load, clock.Now())
			return service.board.AnswerTo(load), nil
		})
	service.registerRelayHandlers(registrar)
	return service
}

// SetOwner sets the OwnsItems and OnAnswer options of a node that may own batch items. It must be called before Start.
func (s *Service) SetOwner(ownsItems func() bool, onAnswer func()) {
	s.options.OwnsItems, s.options.OnAnswer = ownsItems, onAnswer
}

// SetDemands sets the Demands and OnAnswer options of a node with callers. It must be called before Start.
func (s *Service) SetDemands(demands func() map[string]Demand, onAnswer func()) {
	s.options.Demands, s.options.OnAnswer = demands, onAnswer
}

// OthersDemand returns the other nodes' demand for service; known is false if the last answer is older than answerStaleAfter.
func (s *Service) OthersDemand(service string, now time.Time) (others Demand, known bool) {
	others, age := s.fleet.otherDemand(service, now)
	return others, age <= answerStaleAfter
}

// OthersLoad returns the other nodes' demand for service; the zero Demand if the last answer is older than reportStaleAfter. For a
// while after a change of route its Batch is 0, since the previous exchange may still count this node's own items.
func (s *Service) OthersLoad(service string, now time.Time) Demand {
	others, age := s.fleet.otherDemand(service, now)
	if age > reportStaleAfter {
		return Demand{}
	}
	if s.routeChangedRecently(now) {
		others.Batch = 0
	}
	return others
}

// ReportingSince returns the time since which nodes with callers have reported without interruption.
func (s *Service) ReportingSince() time.Time { return s.fleet.reportingSince() }

// currentTopology returns the topology for the current membership view.
func (s *Service) currentTopology() topology {
	return s.topologies.Get(s.viewer.View(), func(view *membership.View) topology { return topologyOf(view, s.options.Zone) })
}

// Start starts reporting.
func (s *Service) Start() {
	s.background.Go(s.loop)
}

// Stop stops reporting and waits for the query in flight.
func (s *Service) Stop() {
	s.cancel()
	s.background.Wait()
	s.queries.stop()
}

// loop reports when this node's load changes, and otherwise at the intervals that tick returns.
func (s *Service) loop() {
	changed := s.directory.UseChanged()
	if s.isStore() {
		// A storage node ticks often enough to need no signal.
		changed = nil
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	// reportScheduled is set while the timer is set for a report of the latest changes.
	reportScheduled := false
	for {
		select {
		case <-changed:
			if !reportScheduled {
				reportScheduled = true
				timer.Reset(max(reportDelay, s.timeUntilNextReport(clock.Now())))
			}
		case <-timer.C:
			reportScheduled = false
			timer.Reset(s.tick(clock.Now()))
		case <-s.ctx.Done():
			return
		}
	}
}

// timeUntilNextReport returns the time until this node may report again.
func (s *Service) timeUntilNextReport(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return reportInterval - now.Sub(s.sentAt)
}

// tick relays, queries or reports as due, and returns the time until the next tick.
func (s *Service) tick(now time.Time) time.Duration {
	topo := s.currentTopology()
	ownsItems := s.options.OwnsItems != nil && s.options.OwnsItems()
	if s.isStore() {
		s.board.prune(now)
		s.relay(topo, now)
	}
	if ownsItems {
		// The query carries a report.
		s.startQuery()
		return ownerQueryInterval
	}
	if s.isStore() && now.Sub(s.standbyQueryAt) >= standbyQueryInterval {
		s.standbyQueryAt = now
		s.startQuery()
		return reportInterval
	}
	if load := s.currentLoad(); s.reportDue(load, now) {
		s.report(topo, load, now)
	}
	if s.isStore() {
		return reportInterval
	}
	return unchangedReportInterval
}

func (s *Service) isStore() bool { return s.options.Kind == loadsharepb.Kind_KIND_BATCH }

// currentLoad returns this node's own load.
func (s *Service) currentLoad() nodeLoad {
	load := nodeLoad{replicas: replicaLoads{}, demands: demands{}}
	if s.options.Demands != nil {
		maps.Copy(load.demands, s.options.Demands())
	}
	for handle := range s.directory.View().All() {
		use := handle.Use()
		if use.Requests <= 0 && use.Avoiding == 0 {
			continue
		}
		load.replicas[handle.Key()] = use
		if s.isStore() && use.Requests > 0 {
			service := handle.Info().Service
			load.demands[service] = load.demands[service].plus(Demand{Batch: use.Requests}, 1)
		}
	}
	return load
}

func (l nodeLoad) equal(other nodeLoad) bool {
	return maps.Equal(l.replicas, other.replicas) && maps.Equal(l.demands, other.demands)
}

func (l nodeLoad) isZero() bool { return len(l.replicas)+len(l.demands) == 0 }

// reportDue reports whether load differs from the last report, or that report is due to be repeated.
func (s *Service) reportDue(load nodeLoad, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !load.equal(s.reportedLoad) {
		return true
	}
	return now.Sub(s.reportedAt) >= unchangedReportInterval && (!s.isStore() || !load.isZero())
}

// newReport returns load as a message and records it as reported.
func (s *Service) newReport(load nodeLoad, now time.Time) *loadsharepb.NodeLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reportedLoad, s.reportedAt = load, now
	return &loadsharepb.NodeLoad{
		Origin: s.origin(), Kind: s.options.Kind, Replicas: encodeReplicas(load.replicas), Demands: encodeDemands(load.demands),
	}
}

func (s *Service) origin() *loadsharepb.Origin {
	return &loadsharepb.Origin{Run: s.run, Sequence: s.sequence.Add(1)}
}

// report sends load to this node's exchange without waiting for an answer.
func (s *Service) report(topo topology, load nodeLoad, now time.Time) {
	chosen, known := s.chooseRoute(topo, now)
	if !known {
		return
	}
	if chosen.relayed {
		// The query carries a report, and also shows whether the relay still reaches an exchange.
		s.startQuery()
		return
	}
	message := s.newReport(load, now)
	s.mutex.Lock()
	s.sentAt = now
	s.mutex.Unlock()
	s.deliverReport(chosen, topo, message, now)
}

// relay sends the other exchanges the sums of the loads that nodes report to this one.
func (s *Service) relay(topo topology, now time.Time) {
	if s.board.hasNoReports() && !topo.isExchange {
		return
	}
	if !s.board.reportsChangedSince(s.relayedVersion) && now.Sub(s.relayedAt) < unchangedRelayInterval {
		return
	}
	whole := now.Sub(s.fullRelayAt) >= fullRelayInterval
	message, version := s.board.changesToRelay(s.relayedVersion, whole)
	message.Origin = s.origin()
	s.relayedVersion, s.relayedAt = version, now
	if whole {
		s.fullRelayAt = now
	}
	for _, exchange := range topo.exchanges {
		if exchange == topo.self {
			continue
		}
		if err := s.caller.Send(exchange, methodRelay, message); err != nil {
			s.logger.Debug().Err(err).Stringer("exchange", exchange).Msg("relay_not_sent")
		}
	}
}
