package quarantine

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/unreached"
)

// Methods that nodes call on each other.
const (
	methodNotice  transport.Method = "quarantine.notice"
	methodList    transport.Method = "quarantine.list"
	methodGrant   transport.Method = "quarantine.grant"
	methodRelease transport.Method = "quarantine.release"
)

// Options configures a Service.
type Options struct {
	// Network connects to the replicas.
	Network network.Network
	// Directory holds the replicas. Those that other nodes found to have ended are marked there, so that this node
	// avoids them too.
	Directory *replica.Directory
	Viewer    membership.Viewer
	// Store keeps the records of rejected messages, which must survive the loss of all nodes; nil if there is none.
	Store      platform.KeyValue
	Caller     transport.Caller
	Registrar  transport.Registrar
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service is the Register of one node. It exchanges evidence with the other nodes. It is safe for concurrent use.
type Service struct {
	network network.Network
	// directory holds the registered replicas.
	directory *replica.Directory
	viewer    membership.Viewer
	store     platform.KeyValue
	caller    transport.Caller
	logger    zerolog.Logger
	metrics   *metrics
	// unreached holds the nodes that did not answer a short while ago.
	unreached *unreached.Peers
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	// outboxChanged wakes the loop that sends notices.
	outboxChanged chan struct{}
	// recordsChanged wakes the loop that writes and deletes records.
	recordsChanged chan struct{}

	// mutex guards the fields below.
	mutex     sync.Mutex
	stopped   bool
	startedAt time.Time
	evidence  *evidenceStore
	// runs holds the messages that run at replicas. pendingInquiries is the number of lost runs of a message into whose
	// replica an inquiry is under way.
	runs             map[Key]map[*run]bool
	pendingInquiries map[Key]int
	inquiries        map[replica.Key]*inquiry
	// queues holds the messages for which one caller on this node requests or holds a grant. The channel is closed when
	// that caller is done.
	queues map[Key]chan struct{}
	// grants holds the grants that this node gave as keeper.
	grants map[Key]grant
	// releasedRuns holds the runs whose grants were released to this node as keeper, with the time of the release.
	releasedRuns map[uint64]time.Time
	// requestedRuns holds the runs for which this node requested a grant, with the time of the last request.
	requestedRuns map[uint64]time.Time
	// abortedRuns holds the runs that this node aborted a short while ago, by replica. abortedCount is their number,
	// expireAbortedAt the time from which old ones are dropped again.
	abortedRuns     map[replica.Key][]abortedRun
	abortedCount    int
	expireAbortedAt time.Time
	// probedParts holds the rejected parts of prompts that a message of this node is testing.
	probedParts map[Key]bool
	// changed is closed and replaced when evidence arrives or a run ends.
	changed chan struct{}
	// outbox holds the messages for the next notice, by incident; repeats holds those of sent notices that are to be
	// sent once more.
	outbox  map[replica.Key]map[Key]bool
	repeats map[replica.Key]map[Key]bool
	// rejected holds the messages whose rejection was logged, with the state of their records.
	rejected map[Key]recordState
	// staleRecords holds the messages whose records this node has to delete, with the time at which their rejection was
	// taken back.
	staleRecords map[Key]time.Time
	// complete reports that this node knows the messages that were rejected before all nodes were killed.
	complete bool
}

// NewService returns a Service and registers its methods with the registrar.
func NewService(options Options) *Service {
	service := &Service{
		network:          options.Network,
		directory:        options.Directory,
		viewer:           options.Viewer,
		store:            options.Store,
		caller:           options.Caller,
		logger:           options.Logger.With().Str(logging.FieldSlice, "quarantine").Logger(),
		metrics:          newMetrics(options.Registerer),
		unreached:        unreached.NewPeers(unreachedTime),
		outboxChanged:    make(chan struct{}, 1),
		recordsChanged:   make(chan struct{}, 1),
		evidence:         newEvidenceStore(),
		runs:             map[Key]map[*run]bool{},
		pendingInquiries: map[Key]int{},
		inquiries:        map[replica.Key]*inquiry{},
		queues:           map[Key]chan struct{}{},
		grants:           map[Key]grant{},
		releasedRuns:     map[uint64]time.Time{},
		requestedRuns:    map[uint64]time.Time{},
		changed:          make(chan struct{}),
		outbox:           map[replica.Key]map[Key]bool{},
		repeats:          map[replica.Key]map[Key]bool{},
		rejected:         map[Key]recordState{},
		staleRecords:     map[Key]time.Time{},
		abortedRuns:      map[replica.Key][]abortedRun{},
		probedParts:      map[Key]bool{},
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	transport.Handle(options.Registrar, methodNotice, func() *quarantinepb.Notice { return &quarantinepb.Notice{} },
		func(_ context.Context, _ netip.AddrPort, notice *quarantinepb.Notice) (*quarantinepb.Notice, error) {
			service.joinNotice(notice, clock.Now())
			return &quarantinepb.Notice{}, nil
		})
	transport.Handle(options.Registrar, methodList, func() *quarantinepb.ListRequest { return &quarantinepb.ListRequest{} },
		func(context.Context, netip.AddrPort, *quarantinepb.ListRequest) (*quarantinepb.ListResponse, error) {
			return service.list(clock.Now()), nil
		})
	transport.Handle(options.Registrar, methodGrant, func() *quarantinepb.GrantRequest { return &quarantinepb.GrantRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *quarantinepb.GrantRequest) (*quarantinepb.GrantResponse, error) {
			return service.handleGrant(request, clock.Now()), nil
		})
	transport.Handle(options.Registrar, methodRelease, func() *quarantinepb.ReleaseRequest { return &quarantinepb.ReleaseRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *quarantinepb.ReleaseRequest) (*quarantinepb.ReleaseResponse, error) {
			service.handleRelease(request, clock.Now())
			return &quarantinepb.ReleaseResponse{}, nil
		})
	return service
}

// Start starts to exchange evidence with the other nodes and to write records.
func (s *Service) Start() {
	s.mutex.Lock()
	s.startedAt = clock.Now()
	s.mutex.Unlock()
	s.running.Go(s.share)
	s.running.Go(s.askPeers)
	s.running.Go(s.writeRecords)
}

// inBackground runs work in a goroutine that Stop waits for. After Stop it does nothing; grants then lapse instead of
// being released.
func (s *Service) inBackground(work func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.stopped {
		s.running.Go(work)
	}
}

// Stop stops the background work and waits for it. Messages that wait for a grant are rejected.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.running.Wait()
}

// Check implements Register.
func (s *Service) Check(key Key, parts ...Key) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.checkWithParts(key, parts, false)
}

// CheckItem implements ItemRegister.
func (s *Service) CheckItem(key Key, parts ...Key) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.markItem(key)
	return s.checkWithParts(key, parts, true)
}

// markItem marks the ends under a message as those of an item and announces the changes. The mutex is held.
func (s *Service) markItem(key Key) {
	marked := s.evidence.markItem(key)
	if len(marked) == 0 {
		return
	}
	for _, end := range marked {
		s.announce(end.replica, key)
	}
	s.updateRejected(key)
	s.signalChanged()
}

// Recall implements Register.
func (s *Service) Recall(key Key, ended []RecordedEnd, events int) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for index, recorded := range ended {
		recalled := unseenSuspect(originRecalled)
		recalled.reached, recalled.reachedKnown, recalled.logged = recorded.Reached, recorded.ReachedKnown, true
		recalled.retry = recorded.Retry
		if recalled.progressedPast(events) {
			continue
		}
		// The times of the ends are not known either; times that other nodes observed replace these estimates.
		if s.evidence.addSuspect(s.evidence.incidentFor(recorded.Replica, now.Add(-time.Duration(index+1)*time.Second), true), key, recalled) {
			s.announce(recorded.Replica, key)
		}
	}
	s.clearEndsBefore(key, events)
	s.updateRejected(key)
	s.signalChanged()
}

// suspect counts the end of a replica against the message of a run there. The mutex is held.
func (s *Service) suspect(ended *run, endedAt time.Time, runDuration time.Duration) {
	key := ended.handle.Key()
	suspected := suspect{
		runDuration:  runDuration,
		granted:      ended.granted,
		progressed:   ended.progressed,
		reached:      ended.reached,
		reachedKnown: true,
		item:         ended.item,
		deciding:     ended.deciding,
		retry:        ended.retry,
		expired:      ended.expired,
		origin:       originSeen,
	}
	if ended.unseen {
		suspected = unseenSuspect(originLapsed)
		suspected.granted, suspected.retry = ended.granted, ended.retry
	}
	// Nobody observed what became of an item's run after it was aborted.
	suspected.unseen = suspected.unseen || ended.aborted && ended.item
	if !s.evidence.add(key, endedAt, ended.key, suspected) {
		return
	}
	s.evidence.setService(key, ended.handle.Info().Service)
	s.announce(key, ended.key)
	s.logger.Info().Stringer("digest", ended.key).Str(logging.FieldReplica, ended.handle.Info().ID).Dur("ran", runDuration).
		Int("together", len(s.evidence.incidents[key].suspects)).
		Int("ended", s.evidence.endCount(ended.key)).Stringer("verdict", s.evidence.verdict(ended.key)).
		Bool("granted", ended.granted).Bool("progressed", ended.progressed).Int("reached", ended.reached).Msg("message_suspected")
	s.updateRejected(ended.key)
	s.clearExplained(s.evidence.incidents[key])
	s.cutRuns(ended.key)
}

// clearMessage clears the incidents and losses of a message that completed.
func (s *Service) clearMessage(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if incidents := s.clearEnds(key, entireAnswer); incidents > 0 {
		s.logger.Info().Stringer("digest", key).Int("incidents", incidents).Msg("message_cleared")
	}
	s.clearRecalled(key)
	s.clearLosses(key)
}

// clearAfterProgress clears the losses of a message whose answer progressed at a replica that did not end, and the
// incidents that it has now progressed past.
func (s *Service) clearAfterProgress(key Key, events int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clearEndsBefore(key, events)
	s.clearLosses(key)
}

// clearEndsBefore clears the incidents that the message's answer, which has the given number of events, has progressed
// past. The mutex is held.
func (s *Service) clearEndsBefore(key Key, events int) {
	if incidents := s.clearEnds(key, events); incidents > 0 {
		s.logger.Info().Stringer("digest", key).Int("incidents", incidents).Int("events", events).Msg("ends_passed")
	}
}

// clearEnds clears the message in the open incidents that an answer with the given number of events rules out, and
// announces that to the other nodes. It returns their number. The mutex is held.
func (s *Service) clearEnds(key Key, events int) int {
	cleared := s.evidence.clear(key, events)
	if len(cleared) == 0 {
		return 0
	}
	for _, end := range cleared {
		s.announce(end.replica, key)
	}
	s.updateRejected(key)
	s.signalChanged()
	return len(cleared)
}

// joinNotice merges a notice of another node.
func (s *Service) joinNotice(notice *quarantinepb.Notice, now time.Time) {
	s.join(notice, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.takeOverAborted(notice.GetAbortedRuns(), now)
}

// evidenceMessage is any message between nodes that carries evidence.
type evidenceMessage interface {
	GetIncidents() []*quarantinepb.Incident
	GetLosses() []*quarantinepb.Loss
}

// join merges evidence received from another node.
func (s *Service) join(received evidenceMessage, now time.Time) {
	incidents := received.GetIncidents()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.joinLosses(received.GetLosses(), now)
	s.avoidEnded(incidents, now)
	changed := s.evidence.join(incidents, now)
	s.clearOwnLapses(incidents)
	for _, end := range incidents {
		if known := s.evidence.incidents[replica.Key(end.GetReplica())]; known != nil {
			s.clearExplained(known)
		}
		if ended := replica.Key(end.GetReplica()); len(s.abortedRuns[ended]) > 0 && s.evidence.incidents[ended] != nil {
			s.suspectAbortedRuns(ended, s.evidence.incidents[ended].learnedAt)
		}
	}
	for _, key := range changed {
		s.updateRejected(key)
		s.cutRuns(key)
	}
	if len(changed) > 0 {
		s.signalChanged()
	}
}

// avoidEnded makes this node avoid replicas that other nodes found to have ended. Replicas whose incident is already
// known were marked before. The mutex is held.
func (s *Service) avoidEnded(incidents []*quarantinepb.Incident, now time.Time) {
	ended := map[replica.Key]bool{}
	for _, end := range incidents {
		key := replica.Key(end.GetReplica())
		if s.evidence.incidents[key] == nil {
			ended[key] = true
		}
	}
	if len(ended) == 0 {
		return
	}
	for handle := range s.directory.View().All() {
		if ended[handle.Key()] {
			handle.Ended(now)
		}
	}
}

// cutRuns cuts off the runs of a suspected message that have no grant. The mutex is held.
func (s *Service) cutRuns(key Key) {
	if len(s.runs[key]) == 0 || s.evidence.verdictFromEnds(key) == Allowed {
		return
	}
	for run := range s.runs[key] {
		if run.granted || run.cut == nil {
			continue
		}
		cut := run.cut
		run.cut = nil
		s.metrics.cut.Inc()
		cut()
	}
}

// updateRejected updates the set of rejected messages after a change of a message's evidence, and logs a new rejection.
// The mutex is held.
func (s *Service) updateRejected(key Key) {
	rejected := s.evidence.verdict(key) == Rejected
	state, known := s.rejected[key]
	if rejected == known {
		return
	}
	subscription.Signal(s.recordsChanged)
	if !rejected {
		delete(s.rejected, key)
		if state != recordMissing {
			s.staleRecords[key] = clock.Now()
		}
		return
	}
	s.rejected[key] = recordMissing
	if s.evidence.partRejected(key) {
		s.notePartRejected(key)
		return
	}
	s.logger.Warn().Stringer("digest", key).
		Int("ended", s.evidence.endCount(key)).Int("lost", s.evidence.losses.openCount(key)).
		Strs("evidence", s.evidence.describeEvidence(key, clock.Now())).Msg("message_rejected")
}

// signalChanged wakes those who wait for new evidence or the end of a run. The mutex is held.
func (s *Service) signalChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns all evidence of this node in its wire form.
func (s *Service) list(now time.Time) *quarantinepb.ListResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := &quarantinepb.ListResponse{Incidents: s.evidence.encodeAll(now), Losses: s.evidence.losses.encodeApart(now), Complete: s.complete}
	for message := range s.evidence.recalled {
		listed.Rejected = append(listed.Rejected, keyBytes(message))
	}
	return listed
}
