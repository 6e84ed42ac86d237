package membership

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
)

// eventQueue bounds events that wait for the control goroutine; messages past it are lost.
const eventQueue = 4096

// Options of a Service.
type Options struct {
	// Self is this node. Its Incarnation must exceed that of earlier starts.
	Self Member
	// Seeds are peer addresses to join through.
	Seeds  []netip.AddrPort
	Timing Timing
	// RandomSeed drives the choice of whom to probe.
	RandomSeed uint64
}

// Network is what the service needs of the transport.
type Network interface {
	transport.Caller
	transport.Registrar
}

// Service runs the protocol on one goroutine. It is safe for concurrent use.
type Service struct {
	options  Options
	network  Network
	machines platform.MachineList
	logger   zerolog.Logger
	metrics  *metrics
	// changes belongs to the control goroutine.
	changes *changeLog

	view   atomic.Pointer[View]
	busy   atomic.Int64
	lost   atomic.Int64
	events chan event
	// settled is closed when the control goroutine has ended.
	settled chan struct{}
	stop    context.CancelFunc
	running sync.WaitGroup

	subscribers subscription.List[*View]
}

// New returns a service and registers its handlers; machines may be nil.
func New(
	options Options,
	network Network,
	machines platform.MachineList,
	registerer prometheus.Registerer,
	logger zerolog.Logger,
) (*Service, error) {
	metrics, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	service := &Service{
		options:  options,
		network:  network,
		machines: machines,
		logger:   logger.With().Str(logging.FieldSlice, "membership").Logger(),
		metrics:  metrics,
		events:   make(chan event, eventQueue),
		settled:  make(chan struct{}),
	}
	service.changes = newChangeLog(service.logger)
	service.view.Store(&View{Self: options.Self.ID, Members: []Member{options.Self}})
	service.handle(methodPing, func() proto.Message { return &membershippb.Ping{} })
	service.handle(methodAck, func() proto.Message { return &membershippb.Ack{} })
	service.handle(methodProbeRequest, func() proto.Message { return &membershippb.ProbeRequest{} })
	service.handle(methodDigest, func() proto.Message { return &membershippb.Digest{} })
	service.handle(methodSummary, func() proto.Message { return &membershippb.Summary{} })
	service.handle(methodRecords, func() proto.Message { return &membershippb.Records{} })
	return service, nil
}

func (s *Service) handle(method transport.Method, newMessage func() proto.Message) {
	s.network.Handle(method, newMessage, func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
		select {
		case s.events <- messageEvent{from: from, message: message}:
		default:
			s.lost.Add(1)
		}
		return nil, nil
	})
}

// Start begins to probe and to join. It returns at once.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.running.Go(func() { s.control(ctx) })
	if s.machines != nil {
		s.running.Go(func() { s.readList(ctx) })
	}
}

// Stop tells the others that this node is gone and ends the service.
func (s *Service) Stop() {
	if s.stop == nil {
		return
	}
	s.submit(stopEvent{})
	s.stop()
	s.running.Wait()
}

// Kill ends the service without a word to the others, as a crash would.
func (s *Service) Kill() {
	if s.stop != nil {
		s.stop()
		s.running.Wait()
	}
}

// View returns the present view.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe calls notify after each change of the view, on the control goroutine.
func (s *Service) Subscribe(notify func(*View)) (unsubscribe func()) {
	return s.subscribers.Add(notify)
}

// Leave spreads that this node is leaving. It returns when the first nodes were told.
func (s *Service) Leave(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case s.events <- signalEvent{event: leaveEvent{}, done: done}:
	case <-s.settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-s.settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetStore spreads the incarnation of this node's store.
func (s *Service) SetStore(incarnation string) { s.submit(storeEvent{incarnation: incarnation}) }

// SetConfigRevision spreads the configuration revision in force on this node.
func (s *Service) SetConfigRevision(revision int64) {
	s.submit(revisionEvent{revisions: Revisions{Configuration: revision}})
}

// SetReplicasRevision spreads the revision of the newest change to the list of replicas that this node knows.
func (s *Service) SetReplicasRevision(revision int64) {
	s.submit(revisionEvent{revisions: Revisions{Replicas: revision}})
}

// AddContact names a node through which this one can join the others while it knows nobody.
func (s *Service) AddContact(address netip.AddrPort) { s.submit(contactEvent{address: address}) }

// Busy is the time that the control goroutine spent on events so far.
func (s *Service) Busy() time.Duration { return time.Duration(s.busy.Load()) }

// signalEvent wraps an event whose submitter waits until its actions were done.
type signalEvent struct {
	event
	done chan struct{}
}

// submit hands over an event of this node itself, which must not be lost. Before the
// start and after the end of the service it waits in the queue or is dropped.
func (s *Service) submit(input event) {
	select {
	case s.events <- input:
	case <-s.settled:
	}
}

// control owns the protocol.
func (s *Service) control(ctx context.Context) {
	defer close(s.settled)
	protocol := newProtocol(s.options.Self, s.options.Seeds, s.options.Timing, s.options.RandomSeed)
	ticker := time.NewTicker(s.options.Timing.Tick)
	defer ticker.Stop()
	s.take(protocol, tickEvent{})
	for {
		select {
		case input := <-s.events:
			s.take(protocol, input)
		case <-ticker.C:
			now := clock.Now()
			s.take(protocol, tickEvent{})
			s.changes.tick(now)
		case <-ctx.Done():
			s.finish(protocol)
			s.changes.flush()
			return
		}
	}
}

// finish takes what was submitted before the stop, the stop event among it.
func (s *Service) finish(protocol *protocol) {
	for {
		select {
		case input := <-s.events:
			if _, isMessage := input.(messageEvent); !isMessage {
				s.take(protocol, input)
			}
		default:
			return
		}
	}
}

func (s *Service) take(protocol *protocol, input event) {
	started := clock.Now()
	signal, waited := input.(signalEvent)
	if waited {
		input = signal.event
		defer close(signal.done)
	}
	for _, output := range protocol.step(started, input) {
		s.do(output)
	}
	s.busy.Add(int64(clock.Since(started)))
}

func (s *Service) do(output action) {
	switch typed := output.(type) {
	case sendAction:
		// Best effort: the protocol lives with loss.
		_ = s.network.Send(typed.to, typed.method, typed.message)
	case publishAction:
		s.publish(typed.view)
	case changeAction:
		s.metrics.changes.WithLabelValues(string(typed.kind)).Inc()
		s.changes.take(typed, clock.Now())
	}
}

func (s *Service) publish(view *View) {
	s.view.Store(view)
	s.metrics.count(view)
	s.subscribers.Notify(view)
}

// readList reads the machine list now and then; while it is down, seeds and own
// evidence carry on.
func (s *Service) readList(ctx context.Context) {
	failing := false
	for s.needsList(ctx) {
		listing, err := s.machines.List(ctx)
		switch {
		case err == nil:
			failing = false
			s.submit(listingEvent{machines: listing.Machines})
		case !failing && ctx.Err() == nil:
			failing = true
			s.logger.Warn().Err(err).Msg("machine_list_not_read")
		}
		if !pause.Sleep(ctx, jittered(s.listPeriod(len(listing.Machines)))) {
			return
		}
	}
}

// needsList returns at once where this node finds others by the list, and else, where it joins through its seeds, once it has known nobody
// alive for JoinFirst: the list of many nodes, read by each of them, is long. It returns false when ctx ends.
func (s *Service) needsList(ctx context.Context) bool {
	patience := s.options.Timing.JoinFirst
	if len(s.options.Seeds) == 0 || patience == 0 {
		return ctx.Err() == nil
	}
	for alone := time.Duration(0); alone < patience; {
		if !pause.Sleep(ctx, aloneCheck) {
			return false
		}
		if alone += aloneCheck; s.View().OthersAlive() {
			alone = 0
		}
	}
	return true
}

// listPeriod keeps the reads of a long list within their bytes once others are known.
func (s *Service) listPeriod(machines int) time.Duration {
	timing := s.options.Timing
	if len(s.View().Members) < 2 || timing.ListBytesPerSecond == 0 {
		return timing.ListPeriod
	}
	needed := time.Duration(machines*listedMachineBytes) * time.Second / time.Duration(timing.ListBytesPerSecond)
	return max(timing.ListPeriod, needed)
}
