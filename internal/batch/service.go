package batch

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods called by edges at owners.
const (
	methodSubmit transport.Method = "batch.submit"
	methodRead   transport.Method = "batch.read"
	methodBody   transport.Method = "batch.body"
	methodEnd    transport.Method = "batch.end"
	methodPlace  transport.Method = "batch.place"
)

// Options configures a Service.
type Options struct {
	Zone string
	// MaxBytes bounds the bodies and texts of one partition in memory.
	MaxBytes int64
	// KeepResults is how long results stay readable.
	KeepResults time.Duration
	// Report defines how replicas are asked for their load.
	Report replica.LoadReport
	// ColdStarts is nil if cold replicas may get as many items as warm ones, Quarantine is nil if no item is kept from replicas.
	ColdStarts coldstart.Limiter
	Quarantine quarantine.ItemRegister
}

// Service runs the partitions that this process owns.
type Service struct {
	options   Options
	routes    *route.Holder
	directory *replica.Directory
	picker    *balance.Picker
	client    *replica.Client
	logger    zerolog.Logger

	// mutex guards partitions and polling. polling contains the replicas that were asked for their load and have not answered yet.
	mutex      sync.RWMutex
	partitions map[ledger.PartitionID]*partition
	polling    map[*replica.Handle]bool
	fleet      FleetLoad
	peaks      recentPeaks
	capacity   slotCapacity
	leases     leaseSizer
	// homes is nil until SetHomes.
	homes atomic.Pointer[ledger.ConfinedLocator]
}

// NewService returns a Service and registers its methods.
func NewService(
	options Options, routes *route.Holder, directory *replica.Directory, fleet FleetLoad, picker *balance.Picker, client *replica.Client,
	registrar transport.Registrar, logger zerolog.Logger,
) *Service {
	service := &Service{
		options: options, routes: routes, directory: directory, picker: picker, client: client,
		logger:     logger.With().Str(logging.FieldSlice, "batch").Logger(),
		partitions: map[ledger.PartitionID]*partition{}, polling: map[*replica.Handle]bool{},
		fleet: fleet, peaks: recentPeaks{byService: map[string]peak{}},
	}
	serve(service, registrar, methodSubmit, (*partition).submit)
	serve(service, registrar, methodRead, (*partition).read)
	serve(service, registrar, methodBody, (*partition).body)
	serve(service, registrar, methodEnd, (*partition).end)
	serve(service, registrar, methodPlace, (*partition).place)
	return service
}

// SetHomes sets what tells whether the confinement of hosts has changed recently. Until then it counts as changed.
func (s *Service) SetHomes(homes ledger.ConfinedLocator) { s.homes.Store(&homes) }

func (s *Service) confinementChanged() bool {
	homes := s.homes.Load()
	return homes == nil || (*homes).ConfinementChanged()
}

// Factory creates the state machines of owned partitions.
func (s *Service) Factory() ledger.Factory {
	return func(id ledger.PartitionID) ledger.StateMachine { return newPartition(id, s) }
}

// partitionRequest is a message that is sent to the owner of its partition.
type partitionRequest interface {
	proto.Message
	GetPartition() uint32
}

// message is a pointer to a generated message.
type message[T any] interface {
	*T
	partitionRequest
}

func serve[Request any, RequestPointer message[Request], Response proto.Message](
	service *Service, registrar transport.Registrar, method transport.Method,
	handle func(*partition, context.Context, RequestPointer) (Response, error),
) {
	transport.Handle(registrar, method, func() RequestPointer { return new(Request) },
		func(ctx context.Context, _ netip.AddrPort, request RequestPointer) (Response, error) {
			owned := service.find(ledger.PartitionID(request.GetPartition()))
			if owned == nil {
				var none Response
				return none, errNotOwner()
			}
			return handle(owned, ctx, request)
		})
}

// HasWork reports whether a partition owned here has items that wait or run.
func (s *Service) HasWork() bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	for _, ownedPartition := range s.partitions {
		if ownedPartition.hasWork() {
			return true
		}
	}
	return false
}

func (s *Service) find(id ledger.PartitionID) *partition {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.partitions[id]
}

// owned returns the partitions that this process owns now. The mutex is not held while they are used, which have their own.
func (s *Service) owned() []*partition {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return slices.Collect(maps.Values(s.partitions))
}

func (s *Service) add(owned *partition) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.partitions[owned.id] = owned
}

func (s *Service) remove(owned *partition) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.partitions[owned.id] == owned {
		delete(s.partitions, owned.id)
	}
}

// pollLoad asks a replica for its load in the background, with at most one request in flight.
func (s *Service) pollLoad(ctx context.Context, handle *replica.Handle) {
	s.mutex.Lock()
	skip := s.polling[handle] || !handle.Usable()
	if !skip {
		s.polling[handle] = true
	}
	s.mutex.Unlock()
	if skip {
		return
	}
	go func() {
		bounded, cancel := context.WithTimeout(ctx, loadPollTimeout)
		defer cancel()
		// A replica that does not answer is asked again when a choice needs its load; until then its last known load counts less
		// and less.
		_ = s.client.PollLoad(bounded, handle, s.options.Report)
		s.mutex.Lock()
		delete(s.polling, handle)
		s.mutex.Unlock()
	}()
}
