package routing

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/outcome"
)

// noReplicaRetryAfter is the RetryAfter of a request that no replica can serve.
const noReplicaRetryAfter = time.Second

// Service is the Router of one node. It holds no lock for long, since the directory is an
// immutable snapshot.
type Service struct {
	options Options
	source  fleet.Source
	filters []filter
	scorers []scorer
	pick    picker
	own     ownRequestsTable
	prefix  *prefixIndex
	picks   *prometheus.CounterVec

	// mutex guards observers.
	mutex     sync.RWMutex
	observers []func(replica string)
}

// New returns a Service for a node in the given region and zone.
func New(options Options, source fleet.Source, region, zone string, registerer prometheus.Registerer) *Service {
	service := &Service{
		options: options, source: source,
		filters: []filter{notLeaving, notFailed, notDraining, notExcluded, modelPresent},
		own:     ownRequestsTable{byReplica: make(map[string]*ownRequests)},
		prefix:  newPrefixIndex(!options.DisableConfidence),
		picks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_routing_picks_total", Help: "Replicas picked, by kind of request and result.",
		}, []string{"kind", "result"}),
	}
	registerer.MustRegister(service.picks)
	if options.Policy == PolicyStaticSplit {
		service.filters = append(service.filters, matchingSplit(options.StaticBatchPercent))
	}
	if !options.DisableLoad {
		service.scorers = append(service.scorers, loadCost(options.Costs))
	}
	if !options.DisablePrefix {
		service.scorers = append(service.scorers, prefixCost(options.Costs))
	}
	if !options.DisableDistance {
		service.scorers = append(service.scorers, distanceCost(options.Costs, region, zone))
	}
	service.pick = pickTop(options.Costs.Tie, !options.DisableAffinity && !options.DisablePrefix)
	if options.Picker == PickerPowerOfTwo {
		service.pick = pickPowerOfTwo
	}
	return service
}

// ObserveOnline registers notify, which is called with the replica of each online request that
// starts, on the goroutine that starts it. It cannot be unregistered. notify must not block.
func (s *Service) ObserveOnline(notify func(replica string)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observers = append(s.observers, notify)
}

// Pick implements Router.
func (s *Service) Pick(request Request) (decision Decision, done func(), err error) {
	now := time.Now()
	directory := s.source.Directory()
	candidates := s.candidates(now, directory, &request)
	if len(candidates) == 0 {
		s.count(request.Batch, "none")
		return Decision{}, nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable,
			"no replica of service "+request.Service+" can serve the request").After(noReplicaRetryAfter)
	}
	chosen := s.pick(&request, candidates)
	s.count(request.Batch, "picked")
	return s.decide(chosen), s.Started(chosen.replica.ID, request), nil
}

func (s *Service) decide(chosen *candidate) Decision {
	return Decision{Endpoint: chosen.replica.Endpoint, Zone: chosen.replica.Zone, ExpectedBlocks: chosen.expectedBlocks}
}

func (s *Service) count(batch bool, result string) {
	kind := "online"
	if batch {
		kind = "batch"
	}
	s.picks.WithLabelValues(kind, result).Inc()
}

// Started counts a request as running on a replica until done is called. Callers use it for a
// replica that Pick did not choose.
func (s *Service) Started(replica string, request Request) (done func()) {
	now := time.Now()
	own := s.own.findOrCreate(replica)
	own.record(now, 1, request.Batch)
	if !s.options.DisablePrefix {
		s.prefix.record(now, replica, request.PrefixBlocks, false)
	}
	if !request.Batch {
		s.notifyOnline(replica)
	}
	return sync.OnceFunc(func() { own.record(time.Now(), -1, request.Batch) })
}

func (s *Service) notifyOnline(replica string) {
	s.mutex.RLock()
	observers := s.observers
	s.mutex.RUnlock()
	for _, notify := range observers {
		notify(replica)
	}
}

// candidates returns the replicas of the request's service that pass the filters, with their
// costs.
func (s *Service) candidates(now time.Time, directory *fleet.Directory, request *Request) []candidate {
	indexes := directory.ByService[request.Service]
	candidates := make([]candidate, 0, len(indexes))
	var overlaps map[string]overlap
	if !s.options.DisablePrefix {
		overlaps = s.prefix.matchAll(now, request.PrefixBlocks)
	}
	for _, index := range indexes {
		replica := &directory.Replicas[index]
		if !s.passesFilters(request, replica) {
			continue
		}
		held := overlaps[replica.ID]
		candidates = append(candidates, candidate{replica: replica, expectedBlocks: held.blocks, confidence: held.confidence})
	}
	for index := range candidates {
		s.score(request, &candidates[index])
	}
	return candidates
}

func (s *Service) score(request *Request, scored *candidate) {
	if own := s.own.find(scored.replica.ID); own != nil && !s.options.DisableOwnRequests {
		scored.unreported = own.unreported(scored.replica, s.options.Costs.MaxLag)
	}
	for _, scorer := range s.scorers {
		scored.cost += scorer(request, scored)
	}
}

func (s *Service) passesFilters(request *Request, replica *fleet.Replica) bool {
	for _, accepts := range s.filters {
		if !accepts(request, replica) {
			return false
		}
	}
	return true
}

// Overlap returns the number of leading blocks of a prompt that a replica is expected to have
// cached, multiplied by the confidence in that.
func (s *Service) Overlap(replica string, blocks []uint64) float64 {
	if s.options.DisablePrefix {
		return 0
	}
	held := s.prefix.matchReplica(time.Now(), replica, blocks)
	return float64(held.blocks) * held.confidence
}

// OnlineSlots returns the number of online requests that the usable replicas of a service can
// take now, if each takes at most perReplica at a time; the number of usable replicas; and the
// number of this node's own online requests on them.
func (s *Service) OnlineSlots(service string, perReplica int) (free, usable, own int) {
	directory := s.source.Directory()
	request := Request{Service: service}
	for _, index := range directory.ByService[service] {
		replica := &directory.Replicas[index]
		if !s.passesFilters(&request, replica) {
			continue
		}
		online, ownOnline := s.onlineRequests(replica)
		usable++
		own += ownOnline
		free += max(0, perReplica-online)
	}
	return free, usable, own
}

// onlineRequests returns the estimated number of online requests on a replica, and how many of
// them are this node's own.
func (s *Service) onlineRequests(replica *fleet.Replica) (online, own int) {
	unreported := 0
	if requests := s.own.find(replica.ID); requests != nil {
		unreported, own = requests.unreported(replica, s.options.Costs.MaxLag), requests.inFlight()
	}
	if !replica.HasLoad {
		return own, own
	}
	report := &replica.Load
	return max(own, report.Running-report.RunningBatch+report.Waiting-report.WaitingBatch+unreported), own
}
