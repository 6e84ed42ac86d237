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

// eventQueueSize bounds the events that wait for the control goroutine; messages that exceed it are
// dropped.
const eventQueueSize = 4096

// Options configures a Service.
type Options struct {
	// Self is this node. Its Incarnation must exceed those of earlier starts.
	Self Member
	// Seeds are the peer addresses to join through.
	Seeds  []netip.AddrPort
	Timing Timing
	// RandomSeed seeds the random choices of the protocol.
	RandomSeed uint64
}

// Network is the part of the transport that the service uses.
type Network interface {
	transport.Caller
	transport.Registrar
}

// Service runs the protocol on one control goroutine. It is safe for concurrent use.
type Service struct {
	options  Options
	network  Network
	machines platform.MachineList
	logger   zerolog.Logger
	metrics  *metrics
	// memberChanges is used by the control goroutine only.
	memberChanges *changeLog

	view            atomic.Pointer[View]
	busyNanos       atomic.Int64
	droppedMessages atomic.Int64
	events          chan event
	// stopped is closed when the control goroutine has ended.
	stopped    chan struct{}
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	subscribers subscription.List[*View]
}

// New returns a service and registers its handlers. A nil machines disables reading of the machine
// list.
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
		events:   make(chan event, eventQueueSize),
		stopped:  make(chan struct{}),
	}
	service.memberChanges = newChangeLog(service.logger)
	service.view.Store(&View{Self: options.Self.ID, Members: []Member{options.Self}})
	service.registerHandler(methodPing, func() proto.Message { return &membershippb.Ping{} })
	service.registerHandler(methodAck, func() proto.Message { return &membershippb.Ack{} })
	service.registerHandler(methodProbeRequest, func() proto.Message { return &membershippb.ProbeRequest{} })
	service.registerHandler(methodDigest, func() proto.Message { return &membershippb.Digest{} })
	service.registerHandler(methodSummary, func() proto.Message { return &membershippb.Summary{} })
	service.registerHandler(methodRecords, func() proto.Message { return &membershippb.Records{} })
	return service, nil
}

func (s *Service) registerHandler(method transport.Method, newMessage func() proto.Message) {
	s.network.Handle(method, newMessage, func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
		select {
		case s.events <- messageEvent{from: from, message: message}:
		default:
			s.droppedMessages.Add(1)
		}
		return nil, nil
	})
}

// Start starts joining and probing, and returns at once.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.goroutines.Go(func() { s.run(ctx) })
	if s.machines != nil {
		s.goroutines.Go(func() { s.pollMachineList(ctx) })
	}
}

// Stop announces to the others that this node is gone, and ends the service.
func (s *Service) Stop() {
	if s.stop == nil {
		return
	}
	s.submit(stopEvent{})
	s.stop()
	s.goroutines.Wait()
}

// Kill ends the service without notifying the others, as a crash would.
func (s *Service) Kill() {
	if s.stop != nil {
		s.stop()
		s.goroutines.Wait()
	}
}

// View returns the current view.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe calls notify after each change of the view, on the control goroutine.
func (s *Service) Subscribe(notify func(*View)) (unsubscribe func()) {
	return s.subscribers.Add(notify)
}

// Leave announces that this node is leaving. It returns once the announcement was sent to the first
// nodes, or with the error of ctx.
func (s *Service) Leave(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case s.events <- signalEvent{event: leaveEvent{}, done: done}:
	case <-s.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-s.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetStore announces the incarnation of this node's store.
func (s *Service) SetStore(incarnation string) { s.submit(storeEvent{incarnation: incarnation}) }

// SetConfigRevision announces the configuration revision in force on this node.
func (s *Service) SetConfigRevision(revision int64) {
	s.submit(revisionEvent{revisions: Revisions{Configuration: revision}})
}

// SetReplicasRevision announces the revision of the newest change to the list of replicas that this
// node knows.
func (s *Service) SetReplicasRevision(revision int64) {
	s.submit(revisionEvent{revisions: Revisions{Replicas: revision}})
}

// AddContact adds the address of a node to join through while this node knows no other member.
func (s *Service) AddContact(address netip.AddrPort) { s.submit(contactEvent{address: address}) }

// Busy returns the total time that the control goroutine has spent on events.
func (s *Service) Busy() time.Duration { return time.Duration(s.busyNanos.Load()) }

// signalEvent wraps an event whose submitter waits until its actions are done.
type signalEvent struct {
	event
	done chan struct{}
}

// submit queues a local event, which must not be dropped; it blocks while the queue is full. Events
// submitted before the start wait in the queue; those submitted after the end are ignored.
func (s *Service) submit(input event) {
	select {
	case s.events <- input:
	case <-s.stopped:
	}
}

// run creates the protocol and processes its events until ctx ends.
func (s *Service) run(ctx context.Context) {
	defer close(s.stopped)
	protocol := newProtocol(s.options.Self, s.options.Seeds, s.options.Timing, s.options.RandomSeed)
	ticker := time.NewTicker(s.options.Timing.Tick)
	defer ticker.Stop()
	s.process(protocol, tickEvent{})
	for {
		select {
		case input := <-s.events:
			s.process(protocol, input)
		case <-ticker.C:
			now := clock.Now()
			s.process(protocol, tickEvent{})
			s.memberChanges.tick(now)
		case <-ctx.Done():
			s.drain(protocol)
			s.memberChanges.flush()
			return
		}
	}
}

// drain processes the local events, such as a stop, that were submitted before ctx ended.
func (s *Service) drain(protocol *protocol) {
	for {
		select {
		case input := <-s.events:
			if _, isMessage := input.(messageEvent); !isMessage {
				s.process(protocol, input)
			}
		default:
			return
		}
	}
}

func (s *Service) process(protocol *protocol, input event) {
	started := clock.Now()
	signal, isSignal := input.(signalEvent)
	if isSignal {
		input = signal.event
		defer close(signal.done)
	}
	for _, output := range protocol.step(started, input) {
		s.execute(output)
	}
	s.busyNanos.Add(int64(clock.Since(started)))
}

func (s *Service) execute(output action) {
	switch typed := output.(type) {
	case sendAction:
		// Errors are ignored: the protocol tolerates lost messages.
		_ = s.network.Send(typed.to, typed.method, typed.message)
	case publishAction:
		s.publish(typed.view)
	case changeAction:
		s.metrics.changes.WithLabelValues(string(typed.kind)).Inc()
		s.memberChanges.add(typed, clock.Now())
	}
}

func (s *Service) publish(view *View) {
	s.view.Store(view)
	s.metrics.count(view)
	s.subscribers.Notify(view)
}

// pollMachineList reads the machine list periodically while it is needed. While the list is
// unavailable, seeds and the protocol's own observations are used.
func (s *Service) pollMachineList(ctx context.Context) {
	failing := false
	for s.awaitListNeeded(ctx) {
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

// awaitListNeeded waits until this node needs the machine list. That is at once without seeds or
// JoinFirst; otherwise it is once the node has known no live member for JoinFirst, because the list
// of a large fleet is long and each node would read it. It returns false when ctx ends.
func (s *Service) awaitListNeeded(ctx context.Context) bool {
	joinFirst := s.options.Timing.JoinFirst
	if len(s.options.Seeds) == 0 || joinFirst == 0 {
		return ctx.Err() == nil
	}
	for isolated := time.Duration(0); isolated < joinFirst; {
		if !pause.Sleep(ctx, joinCheckInterval) {
			return false
		}
		if isolated += joinCheckInterval; s.View().OthersAlive() {
			isolated = 0
		}
	}
	return true
}

// listPeriod returns the period for reading a list of the given length. Once other members are
// known, reads stay within ListBytesPerSecond on average.
func (s *Service) listPeriod(machines int) time.Duration {
	timing := s.options.Timing
	if len(s.View().Members) < 2 || timing.ListBytesPerSecond == 0 {
		return timing.ListPeriod
	}
	needed := time.Duration(machines*listedMachineBytes) * time.Second / time.Duration(timing.ListBytesPerSecond)
	return max(timing.ListPeriod, needed)
}
