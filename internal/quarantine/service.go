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

// Methods between nodes.
const (
	methodNotice  transport.Method = "quarantine.notice"
	methodList    transport.Method = "quarantine.list"
	methodGrant   transport.Method = "quarantine.grant"
	methodRelease transport.Method = "quarantine.release"
)

// Options of a Service.
type Options struct {
	// Network is that on which replicas are reached.
	Network network.Network
	// Directory holds the replicas, so that those which others saw end are avoided here too.
	Directory *replica.Directory
	Viewer    membership.Viewer
	// Store keeps the rejected messages for the case that all nodes are killed; nil where there is none.
	Store      platform.KeyValue
	Caller     transport.Caller
	Registrar  transport.Registrar
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service is the Register of one node, which shares what it knows with the others. It is safe for concurrent use.
type Service struct {
	network network.Network
	// directory holds the replicas that are registered.
	directory *replica.Directory
	viewer    membership.Viewer
	store     platform.KeyValue
	caller    transport.Caller
	logger    zerolog.Logger
	metrics   *metrics
	// unreached are the keepers that gave no answer a short while ago.
	unreached *unreached.Peers
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	// news wakes the loop that sends notices.
	news chan struct{}
	// unrecorded wakes the loop that writes records.
	unrecorded chan struct{}

	// mutex guards the fields below.
	mutex     sync.Mutex
	stopped   bool
	startedAt time.Time
	book      *book
	// runs are the messages at replicas, inquired counts the lost runs of a message whose replica is being inquired into.
	runs      map[Key]map[*run]bool
	inquired  map[Key]int
	inquiries map[replica.Key]*inquiry
	// queues hold the messages for which one caller on this node asks for a grant or has it; the channel is closed when it gives that up.
	queues map[Key]chan struct{}
	// grants are those that this node gave as keeper.
	grants map[Key]grant
	// givenBack are the runs whose grants were given back to this node, and when.
	givenBack map[uint64]time.Time
	// left are the runs that were broken off from here a short while ago, by replica; leftCount is their number, forgetLeftAt when old
	// ones are dropped next.
	left         map[replica.Key][]leftRun
	leftCount    int
	forgetLeftAt time.Time
	// changed is closed and replaced when something is learned or a run ends.
	changed chan struct{}
	// outbox are the messages for the next notice, by incident; repeats are those of notices that were sent once and are to be repeated.
	outbox  map[replica.Key]map[Key]bool
	repeats map[replica.Key]map[Key]bool
	// rejected are the messages whose rejection is logged, with the state of their records.
	rejected map[Key]record
	// complete says that this node knows the messages that were rejected before all nodes were killed.
	complete bool
}

// NewService returns a Service and registers its methods.
func NewService(options Options) *Service {
	service := &Service{
		network: options.Network, directory: options.Directory, viewer: options.Viewer, store: options.Store, caller: options.Caller, logger: options.Logger.With().Str(logging.FieldSlice, "quarantine").Logger(),
		metrics: newMetrics(options.Registerer), unreached: unreached.NewPeers(unreachedFor), news: make(chan struct{}, 1), unrecorded: make(chan struct{}, 1), book: newBook(), runs: map[Key]map[*run]bool{}, inquired: map[Key]int{},
		inquiries: map[replica.Key]*inquiry{}, queues: map[Key]chan struct{}{}, grants: map[Key]grant{}, givenBack: map[uint64]time.Time{}, changed: make(chan struct{}),
		outbox: map[replica.Key]map[Key]bool{}, repeats: map[replica.Key]map[Key]bool{}, rejected: map[Key]record{}, left: map[replica.Key][]leftRun{},
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	transport.Handle(options.Registrar, methodNotice, func() *quarantinepb.Notice { return &quarantinepb.Notice{} },
		func(_ context.Context, _ netip.AddrPort, notice *quarantinepb.Notice) (*quarantinepb.Notice, error) {
			service.join(notice, clock.Now())
			return &quarantinepb.Notice{}, nil
		})
	transport.Handle(options.Registrar, methodList, func() *quarantinepb.ListRequest { return &quarantinepb.ListRequest{} },
		func(context.Context, netip.AddrPort, *quarantinepb.ListRequest) (*quarantinepb.ListResponse, error) {
			return service.list(clock.Now()), nil
		})
	transport.Handle(options.Registrar, methodGrant, func() *quarantinepb.GrantRequest { return &quarantinepb.GrantRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *quarantinepb.GrantRequest) (*quarantinepb.GrantResponse, error) {
			return service.give(request, clock.Now()), nil
		})
	transport.Handle(options.Registrar, methodRelease, func() *quarantinepb.ReleaseRequest { return &quarantinepb.ReleaseRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *quarantinepb.ReleaseRequest) (*quarantinepb.ReleaseResponse, error) {
			service.takeBack(request, clock.Now())
			return &quarantinepb.ReleaseResponse{}, nil
		})
	return service
}

// Start begins to share what is learned, and asks others for what they know.
func (s *Service) Start() {
	s.mutex.Lock()
	s.startedAt = clock.Now()
	s.mutex.Unlock()
	s.running.Go(s.share)
	s.running.Go(s.askOthers)
	s.running.Go(s.recordRejected)
}

// inBackground does work that Stop waits for; after Stop it is left out, and a grant lapses.
func (s *Service) inBackground(work func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.stopped {
		s.running.Go(work)
	}
}

// Stop ends what runs here; messages that wait for a grant are rejected.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.running.Wait()
}

// Check implements Register.
func (s *Service) Check(key Key) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.book.verdict(key)
}

// Recall implements Register.
func (s *Service) Recall(key Key, ended []RecordedEnd, events int) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, each := range ended {
		recalled := unseen(originRecalled)
		recalled.reached, recalled.reachedKnown = each.Reached, each.ReachedKnown
		if recalled.passedAt(events) {
			continue
		}
		// When the runs ended is not known either; what other nodes saw replaces this.
		if s.book.addSuspect(s.book.incidentAt(each.Replica, now.Add(-time.Duration(number+1)*time.Second), true), key, recalled) {
			s.announce(each.Replica, key)
		}
	}
	s.clearPassed(key, events)
	s.noteVerdict(key)
	s.signal()
}

// suspect counts the end of a replica against a run's message. The mutex is held.
func (s *Service) suspect(ended *run, at time.Time, ran time.Duration) {
	key := ended.handle.Key()
	doubt := suspect{ran: ran, granted: ended.granted, progressed: ended.progressed, reached: ended.reached, reachedKnown: true, item: ended.item, origin: originSeen}
	if ended.unseen {
		doubt = unseen(originLapsed)
		doubt.granted = ended.granted
	}
	// Nobody saw what became of an item's run after it was broken off.
	doubt.unseen = doubt.unseen || ended.left && ended.item
	if !s.book.add(key, at, ended.key, doubt) {
		return
	}
	s.book.noteService(key, ended.handle.Info().Service)
	s.announce(key, ended.key)
	s.logger.Info().Stringer("digest", ended.key).Str(logging.FieldReplica, ended.handle.Info().ID).Dur("ran", ran).
		Int("together", len(s.book.incidents[key].suspects)).Int("ended", s.book.count(ended.key)).Stringer("verdict", s.book.verdict(ended.key)).
		Bool("granted", ended.granted).Bool("progressed", ended.progressed).Int("reached", ended.reached).Msg("message_suspected")
	s.noteVerdict(ended.key)
	s.cutRuns(ended.key)
}

// cleared notes that a message came to its end.
func (s *Service) cleared(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if incidents := s.clear(key, func(*suspect) bool { return true }); incidents > 0 {
		s.logger.Info().Stringer("digest", key).Int("incidents", incidents).Msg("message_cleared")
	}
	s.clearLosses(key)
}

// progressed clears a message of the ends whose point its answer has passed at a replica that did not end.
func (s *Service) progressed(key Key, events int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clearPassed(key, events)
	s.clearLosses(key)
}

// clearPassed clears a message of the ends whose point its answer has passed, which has events now. The mutex is held.
func (s *Service) clearPassed(key Key, events int) {
	if incidents := s.clear(key, func(ended *suspect) bool { return ended.passedAt(events) }); incidents > 0 {
		s.logger.Info().Stringer("digest", key).Int("incidents", incidents).Int("events", events).Msg("ends_passed")
	}
}

// clear clears a message of those ends that are chosen and shares that; it returns their number. The mutex is held.
func (s *Service) clear(key Key, chosen func(ended *suspect) bool) int {
	cleared := s.book.clear(key, chosen)
	if len(cleared) == 0 {
		return 0
	}
	for _, each := range cleared {
		s.announce(each.replica, key)
	}
	s.noteVerdict(key)
	s.signal()
	return len(cleared)
}

// evidence is what one node lets another know.
type evidence interface {
	GetIncidents() []*quarantinepb.Incident
	GetLosses() []*quarantinepb.Loss
}

// join takes in what another node knows.
func (s *Service) join(learned evidence, now time.Time) {
	incidents := learned.GetIncidents()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.joinLosses(learned.GetLosses(), now)
	s.avoidEnded(incidents, now)
	changed := s.book.join(incidents, now)
	for _, each := range incidents {
		if ended := replica.Key(each.GetReplica()); len(s.left[ended]) > 0 && s.book.incidents[ended] != nil {
			s.suspectLeft(ended, s.book.incidents[ended].learned)
		}
	}
	for _, key := range changed {
		s.noteVerdict(key)
		s.cutRuns(key)
	}
	if len(changed) > 0 {
		s.signal()
	}
}

// avoidEnded has this node avoid replicas that other nodes found ended. Those whose incident is known already were avoided then. The mutex is
// held.
func (s *Service) avoidEnded(incidents []*quarantinepb.Incident, now time.Time) {
	ended := map[replica.Key]bool{}
	for _, each := range incidents {
		key := replica.Key(each.GetReplica())
		if s.book.incidents[key] == nil {
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

// cutRuns ends the runs of a suspected message that no grant covers. The mutex is held.
func (s *Service) cutRuns(key Key) {
	if len(s.runs[key]) == 0 || s.book.verdictOnEnds(key) == Allowed {
		return
	}
	for each := range s.runs[key] {
		if each.granted || each.cut == nil {
			continue
		}
		cut := each.cut
		each.cut = nil
		s.metrics.cut.Inc()
		cut()
	}
}

// noteVerdict logs that a message is rejected, once. The mutex is held.
func (s *Service) noteVerdict(key Key) {
	rejected := s.book.verdict(key) == Rejected
	_, known := s.rejected[key]
	if rejected != known {
		if rejected {
			s.rejected[key] = recordMissing
			subscription.Signal(s.unrecorded)
			s.logger.Warn().Stringer("digest", key).Int("ended", s.book.count(key)).Int("lost", s.book.losses.open(key)).Strs("evidence", s.book.evidence(key, clock.Now())).Msg("message_rejected")
		} else {
			delete(s.rejected, key)
		}
	}
}

// signal wakes those who wait for a change of the book or the end of a run. The mutex is held.
func (s *Service) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the whole book as it is sent.
func (s *Service) list(now time.Time) *quarantinepb.ListResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listed := &quarantinepb.ListResponse{Incidents: s.book.all(now), Losses: s.book.losses.all(now), Complete: s.complete}
	for message := range s.book.recalled {
		listed.Rejected = append(listed.Rejected, keyBytes(message))
	}
	return listed
}
