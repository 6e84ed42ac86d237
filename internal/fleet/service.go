package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods between nodes.
const (
	methodLoadDelta     transport.Method = "fleet.load_delta"
	methodLeavingNotice transport.Method = "fleet.leaving_notice"
	methodCacheDelta    transport.Method = "fleet.cache_delta"
)

const (
	eventQueueLength = 1024
	tickInterval     = 20 * time.Millisecond
)

// Service keeps the directory of replicas. It implements Source and Reporter.
type Service struct {
	options  Options
	settings settings.Settings
	machines platform.MachineList
	viewer   membership.Viewer
	engines  engine.Client
	caller   transport.Caller
	logger   zerolog.Logger

	events    chan event
	directory atomic.Pointer[Directory]
	stopped   chan struct{}
	cancel    context.CancelFunc
	running   sync.WaitGroup
	polls     *pollSet
	cache     *cacheWatch

	subscribers   subscription.List[*Directory]
	loadListeners subscription.List[polledLoad]
}

// polledLoad is a load report of a replica that this node is home to, received at the given time.
type polledLoad struct {
	replica string
	report  engine.LoadReport
	at      time.Time
}

// NewService returns a Service that is not started.
func NewService(options Options, own settings.Settings, machines platform.MachineList, viewer membership.Viewer,
	engines engine.Client, caller transport.Caller, logger zerolog.Logger) *Service {
	service := &Service{
		options: options, settings: own, machines: machines, viewer: viewer, engines: engines, caller: caller,
		logger:  logger.With().Str(logging.FieldSlice, "fleet").Logger(),
		events:  make(chan event, eventQueueLength),
		stopped: make(chan struct{}),
	}
	service.directory.Store(NewDirectory(0, nil))
	service.polls = newPollSet(service)
	service.cache = newCacheWatch(service)
	return service
}

// Start starts the goroutines.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Add(2)
	go func() {
		defer s.running.Done()
		s.control(ctx)
	}()
	go func() {
		defer s.running.Done()
		s.listMachines(ctx)
	}()
}

// Stop stops the goroutines and waits for them.
func (s *Service) Stop() {
	if s.cancel == nil {
		return
	}
	close(s.stopped)
	s.cancel()
	s.running.Wait()
	s.polls.stop()
}

// Directory returns the current directory.
func (s *Service) Directory() *Directory { return s.directory.Load() }

// Subscribe calls notify on the control goroutine after each change until unsubscribe is called. notify must not block.
func (s *Service) Subscribe(notify func(*Directory)) (unsubscribe func()) {
	return s.subscribers.Add(notify)
}

// SubscribeLoad calls notify, on the control goroutine, with each load report of the
// replicas that this node is home to. notify must not block.
func (s *Service) SubscribeLoad(notify func(replica string, report engine.LoadReport, at time.Time)) (unsubscribe func()) {
	return s.loadListeners.Add(func(heard polledLoad) { notify(heard.replica, heard.report, heard.at) })
}

// ReportFailure reports that a call found the replica unreachable.
func (s *Service) ReportFailure(replica string) {
	s.push(evidenceReported{replica: replica, kind: evidenceFailure})
}

// ReportSuccess reports that a call got a response. It queues no event unless the replica counts as failed.
func (s *Service) ReportSuccess(replica string) {
	if known := s.Directory().Find(replica); known != nil && known.Failed {
		s.push(evidenceReported{replica: replica, kind: evidenceSuccess})
	}
}

// ReportLeaving reports that the replica announced that it is leaving.
func (s *Service) ReportLeaving(replica string) {
	s.push(evidenceReported{replica: replica, kind: evidenceLeaving})
}

func (s *Service) push(input event) {
	select {
	case s.events <- input:
	case <-s.stopped:
	}
}

// control runs the control goroutine, which owns the state.
func (s *Service) control(ctx context.Context) {
	state := newState(s.options, membership.NodeID(s.settings.Node), s.settings.Zone)
	views := make(chan *membership.View, 1)
	unsubscribe := s.viewer.Subscribe(func(view *membership.View) { replaceLatest(views, view) })
	defer unsubscribe()
	replaceLatest(views, s.viewer.View())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var input event
		select {
		case <-ctx.Done():
			return
		case view := <-views:
			input = viewChanged{view: view}
		case input = <-s.events:
		case <-ticker.C:
			input = ticked{}
		}
		now := time.Now()
		for _, output := range state.step(now, input) {
			s.perform(output)
		}
		if polled, ok := input.(loadPolled); ok && !polled.failed {
			s.notifyLoad(polled, now)
		}
	}
}

// replaceLatest puts value into a channel of capacity 1 and discards an unread older one.
func replaceLatest[T any](channel chan T, value T) {
	for {
		select {
		case channel <- value:
			return
		default:
		}
		select {
		case <-channel:
		default:
		}
	}
}

func (s *Service) notifyLoad(polled loadPolled, now time.Time) {
	s.loadListeners.Notify(polledLoad{replica: polled.replica, report: polled.report, at: now})
}

func (s *Service) perform(output action) {
	switch typed := output.(type) {
	case publishDirectory:
		s.directory.Store(typed.directory)
		s.subscribers.Notify(typed.directory)
	case sendDelta:
		for _, to := range typed.to {
			_ = s.caller.Send(to, methodLoadDelta, typed.delta) // best effort: RefreshInterval repeats it
		}
	case sendNotice:
		s.logger.Info().Int("replicas", len(typed.notice.GetReplicas())).Msg("replicas leaving")
		for _, to := range typed.to {
			_ = s.caller.Send(to, methodLeavingNotice, typed.notice) // best effort: the machine list names them too
		}
	case setPolls:
		s.polls.set(typed)
	}
}

// listMachines reads the machine list at an interval that grows with its length.
func (s *Service) listMachines(ctx context.Context) {
	failing := false
	for {
		listing, err := s.machines.List(ctx)
		if err == nil {
			s.push(machinesListed{listing: listing})
		}
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			s.logger.Warn().Err(err).Bool("failing", failing).Msg("machine list")
		}
		interval := intervalWithin(s.options.ListInterval, len(listing.Machines), machineBytes, s.options.ListBytesPerSecond)
		if !pause.Sleep(ctx, interval) {
			return
		}
	}
}
