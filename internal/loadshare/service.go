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
	// methodAskFor and methodReportFor are questions and reports that a node passes on to its exchange for another node.
	methodAskFor    transport.Method = "loadshare.ask_for"
	methodReportFor transport.Method = "loadshare.report_for"
	// interval is the least time between two reports of a node, and how often an exchange looks whether its sums have changed. In a burst a
	// zone of the shifted deployment begins a request each 5 ms; with 40 ms, 35 in 100 were sent to a replica that had 6 to 10 at its 6
	// slots, at which 4.7 were known of; with 10 ms 32 in 100, most of the unknown ones under 5 ms old (policy.md, rounds 18 and 24).
	interval = 5 * time.Millisecond
	// settleTime is how long after a change a node reports: one request changes several numbers one after the other.
	settleTime = 500 * time.Microsecond
	// ownerInterval is how often a node with batch items asks: items must give way at once.
	ownerInterval = 20 * time.Millisecond
	// standbyInterval is how often a node that could own batch items asks while it has none: it may own some at any moment, and plans by
	// the slots that items had of late.
	standbyInterval = 250 * time.Millisecond
	// reportAnyway is how often a node with callers reports also what has not changed, or another node what is not zero.
	reportAnyway = 500 * time.Millisecond
	// relayAnyway and relayWhole are how often an exchange sends the others also what has not changed, and all that it has.
	relayAnyway = 250 * time.Millisecond
	relayWhole  = time.Second
)

// Options of a Service.
type Options struct {
	Zone string
	// Kind is what this node's requests at replicas are for.
	Kind loadsharepb.Kind
	// Works says that this node owns batch items that wait or run; nil stands for never.
	Works func() bool
	// Demands returns the callers' requests at this node, by service; nil stands for none.
	Demands func() map[string]Demand
	// Changed, where it is set, is called after an answer came.
	Changed func()
}

// Service reports this node's numbers and keeps the others'. On a storage node it is an exchange as well.
type Service struct {
	options   Options
	directory *replica.Directory
	viewer    membership.Viewer
	caller    transport.Caller
	board     *Board
	fleet     *fleet
	places    membership.PerView[places]
	questions questions
	logger    zerolog.Logger

	run      uint64
	sequence atomic.Uint64
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	// mutex guards the fields below: what was reported last, and when; a question reports too. sentAt is when the last report that was no
	// question was sent: the request for which a question was asked is to be known at once.
	mutex      sync.Mutex
	reported   state
	reportedAt time.Time
	sentAt     time.Time
	// way is the one that was used last, movedAt when another one was before.
	way     way
	movedAt time.Time

	// The fields below belong to the reporting goroutine. relayedVersion is the Board's version that the other exchanges have.
	relayedVersion uint64
	relayedAt      time.Time
	relayedWholeAt time.Time
	// askedAt is when a node without items asked last.
	askedAt time.Time
}

// New returns a Service and registers its methods; nothing is sent before Start.
func New(options Options, directory *replica.Directory, viewer membership.Viewer, caller transport.Caller, registrar transport.Registrar, logger zerolog.Logger) *Service {
	now := clock.Now()
	service := &Service{
		options: options, directory: directory, viewer: viewer, caller: caller, board: NewBoard(now), fleet: newFleet(now), run: rand.Uint64(),
		logger: logger.With().Str(logging.FieldSlice, "loadshare").Logger(),
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	registrar.Handle(methodRelay, func() proto.Message { return &loadsharepb.ExchangeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			service.board.takeRelay(from, message.(*loadsharepb.ExchangeLoad), clock.Now())
			return nil, nil
		})
	registrar.Handle(methodReport, func() proto.Message { return &loadsharepb.NodeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			load := message.(*loadsharepb.NodeLoad)
			service.board.takeReport(reporterOf(from, load), load, clock.Now())
			return nil, nil
		})
	registrar.Handle(methodAsk, func() proto.Message { return &loadsharepb.NodeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			load := message.(*loadsharepb.NodeLoad)
			service.board.takeReport(reporterOf(from, load), load, clock.Now())
			return service.board.AnswerTo(load), nil
		})
	service.handleRelayed(registrar)
	return service
}

// SetOwner sets what a node with batch items reports; changed is called after each answer. It is called before Start.
func (s *Service) SetOwner(works func() bool, changed func()) {
	s.options.Works, s.options.Changed = works, changed
}

// SetDemands sets what a node with callers reports; changed is called after each answer. It is called before Start.
func (s *Service) SetDemands(demands func() map[string]Demand, changed func()) {
	s.options.Demands, s.options.Changed = demands, changed
}

// OthersDemand returns what the other nodes' callers want of service; known is false where no answer came lately.
func (s *Service) OthersDemand(service string, now time.Time) (others Demand, known bool) {
	others, age := s.fleet.demand(service, now)
	return others, age <= answersStale
}

// Others returns the requests for service of the other nodes; none where no answer came for reportStale. After a change of the
// exchange the batch items of others are not known for a while: the exchange before may still count this node's own.
func (s *Service) Others(service string, now time.Time) Demand {
	others, age := s.fleet.demand(service, now)
	if age > reportStale {
		return Demand{}
	}
	if s.movedLately(now) {
		others.Batch = 0
	}
	return others
}

// ReportingSince returns since when nodes with callers have reported without a break.
func (s *Service) ReportingSince() time.Time { return s.fleet.reportingSince() }

// place returns the places by the present view.
func (s *Service) place() places {
	return s.places.Of(s.viewer.View(), func(view *membership.View) places { return placesOf(view, s.options.Zone) })
}

// Start begins to report.
func (s *Service) Start() {
	s.running.Go(s.loop)
}

// Stop ends the reports.
func (s *Service) Stop() {
	s.cancel()
	s.running.Wait()
	s.questions.stop()
}

// loop reports when this node's numbers change, and else now and then.
func (s *Service) loop() {
	changed := s.directory.UseChanged()
	if s.isStore() {
		// It looks often enough anyway.
		changed = nil
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	// due says that a report of the latest changes is on the timer already.
	due := false
	for {
		select {
		case <-changed:
			if !due {
				due = true
				timer.Reset(max(settleTime, s.untilNextReport(clock.Now())))
			}
		case <-timer.C:
			due = false
			timer.Reset(s.tick(clock.Now()))
		case <-s.ctx.Done():
			return
		}
	}
}

// untilNextReport returns how long it is before this node may report again.
func (s *Service) untilNextReport(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return interval - now.Sub(s.sentAt)
}

// tick does what is due and returns the time until the next tick.
func (s *Service) tick(now time.Time) time.Duration {
	place := s.place()
	works := s.options.Works != nil && s.options.Works()
	if s.isStore() {
		s.board.prune(now)
		s.relay(place, now)
	}
	if works {
		// A question reports too.
		s.ask()
		return ownerInterval
	}
	if s.isStore() && now.Sub(s.askedAt) >= standbyInterval {
		s.askedAt = now
		s.ask()
		return interval
	}
	if own := s.own(); s.reportIsDue(own, now) {
		s.report(place, own, now)
	}
	if s.isStore() {
		return interval
	}
	return reportAnyway
}

func (s *Service) isStore() bool { return s.options.Kind == loadsharepb.Kind_KIND_BATCH }

// own returns this node's requests.
func (s *Service) own() state {
	found := state{replicas: replicaLoads{}, demands: demands{}}
	if s.options.Demands != nil {
		maps.Copy(found.demands, s.options.Demands())
	}
	for handle := range s.directory.View().All() {
		use := handle.Use()
		if use.Requests <= 0 && use.Avoiding == 0 {
			continue
		}
		found.replicas[handle.Key()] = use
		if s.isStore() && use.Requests > 0 {
			service := handle.Info().Service
			found.demands[service] = found.demands[service].plus(Demand{Batch: use.Requests}, 1)
		}
	}
	return found
}

func (s state) equal(other state) bool {
	return maps.Equal(s.replicas, other.replicas) && maps.Equal(s.demands, other.demands)
}

func (s state) zero() bool { return len(s.replicas)+len(s.demands) == 0 }

// reportIsDue says that own has changed, or was reported long ago.
func (s *Service) reportIsDue(own state, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !own.equal(s.reported) {
		return true
	}
	return now.Sub(s.reportedAt) >= reportAnyway && (!s.isStore() || !own.zero())
}

// message returns own as it is sent, and notes that it is.
func (s *Service) message(own state, now time.Time) *loadsharepb.NodeLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reported, s.reportedAt = own, now
	return &loadsharepb.NodeLoad{
		Origin: s.origin(), Kind: s.options.Kind, Replicas: encodeReplicas(own.replicas), Demands: encodeDemands(own.demands),
	}
}

func (s *Service) origin() *loadsharepb.Origin {
	return &loadsharepb.Origin{Run: s.run, Sequence: s.sequence.Add(1)}
}

// report sends own to this node's exchange without waiting for an answer.
func (s *Service) report(place places, own state, now time.Time) {
	used, known := s.chooseWay(place, now)
	if !known {
		return
	}
	if used.relayed {
		// A question reports too, and shows whether the relay still reaches an exchange.
		s.ask()
		return
	}
	message := s.message(own, now)
	s.mutex.Lock()
	s.sentAt = now
	s.mutex.Unlock()
	s.deliver(used, place, message, now)
}

// relay sends the other exchanges what the nodes have that report to this one.
func (s *Service) relay(place places, now time.Time) {
	if s.board.empty() && !place.isExchange {
		return
	}
	if !s.board.reportedSince(s.relayedVersion) && now.Sub(s.relayedAt) < relayAnyway {
		return
	}
	whole := now.Sub(s.relayedWholeAt) >= relayWhole
	message, version := s.board.relayed(s.relayedVersion, whole)
	message.Origin = s.origin()
	s.relayedVersion, s.relayedAt = version, now
	if whole {
		s.relayedWholeAt = now
	}
	for _, exchange := range place.exchanges {
		if exchange == place.self {
			continue
		}
		if err := s.caller.Send(exchange, methodRelay, message); err != nil {
			s.logger.Debug().Err(err).Stringer("exchange", exchange).Msg("relay_not_sent")
		}
	}
}
