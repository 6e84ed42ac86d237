package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/unreached"
)

// Methods that nodes call on each other.
const (
	methodKeep transport.Method = "origin.keep"
	methodFind transport.Method = "origin.find"
)

const (
	// expireInterval is how often expired records are deleted.
	expireInterval = 5 * time.Second
	// unreachedTime is how long a node that gave no answer is asked after the others.
	unreachedTime = time.Second
)

// Options configures a Service.
type Options struct {
	Viewer    membership.Viewer
	Caller    transport.Caller
	Registrar transport.Registrar
	// DataFolder is where the records that this node keeps for others outlive its process; empty on a node without persistent storage.
	DataFolder string
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Service records and finds the origins of streams, and keeps records for other nodes. It is safe for concurrent use.
type Service struct {
	viewer    membership.Viewer
	caller    transport.Caller
	logger    zerolog.Logger
	metrics   *metrics
	unreached *unreached.Peers
	keepers   membership.ViewCache[*keepers]
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	// journal is nil on a node without persistent storage. Only writeJournal uses it and syncedAt, the time of its last sync, once the service
	// has started.
	journal  *journal
	syncedAt time.Time
	// unwrittenChanged wakes writeJournal.
	unwrittenChanged chan struct{}

	// mutex guards the fields below.
	mutex   sync.Mutex
	stopped bool
	book    *book
	// outbox holds the records that are to be sent to other nodes.
	outbox []*originpb.Record
	// unwritten holds the records that are to be appended to the journal.
	unwritten []*originpb.Record
}

// NewService returns a Service and registers its methods with the registrar.
func NewService(options Options) *Service {
	service := &Service{
		viewer: options.Viewer, caller: options.Caller, logger: options.Logger.With().Str(logging.FieldSlice, "origin").Logger(),
		metrics: newMetrics(options.Registerer), unreached: unreached.NewPeers(unreachedTime), book: newBook(),
		unwrittenChanged: make(chan struct{}, 1),
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	service.loadJournal(options.DataFolder)
	transport.Handle(options.Registrar, methodKeep, func() *originpb.KeepRequest { return &originpb.KeepRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *originpb.KeepRequest) (*originpb.KeepResponse, error) {
			return service.keep(request), nil
		})
	transport.Handle(options.Registrar, methodFind, func() *originpb.FindRequest { return &originpb.FindRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *originpb.FindRequest) (*originpb.FindResponse, error) {
			return service.answer(request), nil
		})
	return service
}

// Start starts to delete expired records and to write new ones to the disk.
func (s *Service) Start() {
	s.running.Go(func() { pause.Every(s.ctx, expireInterval, s.expire) })
	if s.journal != nil {
		s.running.Go(s.writeJournal)
	}
}

// Stop sends the records that other nodes do not have yet, and waits for that.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.running.Wait()
}

// placement returns up to count members at which the record of a request is looked for.
func (s *Service) placement(requestID string, count int) []membership.Member {
	return s.keepers.Get(s.viewer.View(), newKeepers).placement(requestID, count)
}

func (s *Service) expire(time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.book.expire(clock.Now())
	s.metrics.records.Set(float64(len(s.book.records)))
}

// keep keeps records for another node, up to the first one for which there is no room. It does not wait for the disk.
func (s *Service) keep(request *originpb.KeepRequest) *originpb.KeepResponse {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := &originpb.KeepResponse{}
	for _, message := range request.GetRecords() {
		if !s.book.add(message.GetRequest(), decodeOrigin(message), message.GetDisputed(), lifetimeOf(message), now) {
			break
		}
		s.queueWrite(message)
		response.Kept++
	}
	return response
}

// answer returns what this node knows of a record.
func (s *Service) answer(request *originpb.FindRequest) *originpb.FindResponse {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := &originpb.FindResponse{Answered: true}
	if known, exists := s.book.find(request.GetRequest(), now); exists {
		response.Record = known.encode(request.GetRequest(), now)
	}
	return response
}
