package routing

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/outcome"
)

// retryWhenNone is when a caller may come back where no replica can serve it.
const retryWhenNone = time.Second

// Service is the Router of one node. It takes no lock that is held for long: the
// directory is an immutable snapshot.
type Service struct {
	options Options
	source  fleet.Source
	filters []filter
	scorers []scorer
	pick    picker
	own     ownTable
	prefix  *prefixIndex
	picks   *prometheus.CounterVec

	// mutex guards observers.
	mutex     sync.RWMutex
	observers []func(replica string)
}

// New returns a Router for a node of the given region and zone.
func New(options Options, source fleet.Source, region, zone string, registerer prometheus.Registerer) *Service {
	service := &Service{
		options: options, source: source,
		filters: []filter{notLeaving, notFailed, notDraining, notExcluded, modelPresent},
		own:     ownTable{byReplica: make(map[string]*ownRequests)},
		prefix:  newPrefixIndex(!options.DisableConfidence),
		picks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_routing_picks_total", Help: "Replicas picked, by kind of request and result.",
		}, []string{"kind", "result"}),
	}
	registerer.MustRegister(service.picks)
	if options.Policy == PolicyStaticSplit {
		service.filters = append(service.filters, splitByKind(options.StaticBatchPercent))
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

// ObserveOnline calls notify with the replica of each online request that is picked, on
// the caller's goroutine, for the life of the Router. notify must not block.
func (s *Service) ObserveOnline(notify func(replica string)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observers = append(s.observers, notify)
}

// Pick chooses a replica and counts the request there until done is called.
func (s *Service) Pick(request Request) (decision Decision, done func(), err error) {
	now := time.Now()
	directory := s.source.Directory()
	candidates := s.candidates(now, directory, &request)
	if len(candidates) == 0 {
		s.count(request.Batch, "none")
		return Decision{}, nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable,
			"no replica of service "+request.Service+" can serve the request").After(retryWhenNone)
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

// Started counts a request on a replica that was chosen otherwise, until done is called.
func (s *Service) Started(replica string, request Request) (done func()) {
	now := time.Now()
	own := s.own.findOrMake(replica)
	own.change(now, 1, request.Batch)
	if !s.options.DisablePrefix {
		s.prefix.record(now, replica, request.PrefixBlocks, false)
	}
	if !request.Batch {
		s.notifyOnline(replica)
	}
	return sync.OnceFunc(func() { own.change(time.Now(), -1, request.Batch) })
}

func (s *Service) notifyOnline(replica string) {
	s.mutex.RLock()
	observers := s.observers
	s.mutex.RUnlock()
	for _, notify := range observers {
		notify(replica)
	}
}

// candidates filters and scores the replicas of the request's service.
func (s *Service) candidates(now time.Time, directory *fleet.Directory, request *Request) []candidate {
	indexes := directory.ByService[request.Service]
	candidates := make([]candidate, 0, len(indexes))
	var overlaps map[string]overlap
	if !s.options.DisablePrefix {
		overlaps = s.prefix.match(now, request.PrefixBlocks)
	}
	for _, index := range indexes {
		replica := &directory.Replicas[index]
		if !s.passes(request, replica) {
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

func (s *Service) score(request *Request, one *candidate) {
	if own := s.own.find(one.replica.ID); own != nil && !s.options.DisableOwnRequests {
		one.own = own.since(one.replica, s.options.Costs.MaxLag)
	}
	for _, scorer := range s.scorers {
		one.cost += scorer(request, one)
	}
}

func (s *Service) passes(request *Request, replica *fleet.Replica) bool {
	for _, keep := range s.filters {
		if !keep(request, replica) {
			return false
		}
	}
	return true
}

// Overlap returns how many leading blocks of a prompt a replica is thought to hold,
// weighed by confidence.
func (s *Service) Overlap(replica string, blocks []uint64) float64 {
	if s.options.DisablePrefix {
		return 0
	}
	held := s.prefix.matchOn(time.Now(), replica, blocks)
	return float64(held.blocks) * held.confidence
}

// OnlineSlots returns how many more online requests the usable replicas of a service
// can take now, where each takes at most perReplica, the number of such replicas, and
// the requests of this node that run on them.
func (s *Service) OnlineSlots(service string, perReplica int) (free, usable, own int) {
	directory := s.source.Directory()
	request := Request{Service: service}
	for _, index := range directory.ByService[service] {
		replica := &directory.Replicas[index]
		if !s.passes(&request, replica) {
			continue
		}
		online, ownOnline := s.onlineOn(replica)
		usable++
		own += ownOnline
		free += max(0, perReplica-online)
	}
	return free, usable, own
}

// onlineOn returns the online requests thought to be on a replica and this node's part of them.
func (s *Service) onlineOn(replica *fleet.Replica) (online, own int) {
	since := 0
	if known := s.own.find(replica.ID); known != nil {
		since, own = known.since(replica, s.options.Costs.MaxLag), known.inFlight()
	}
	if !replica.HasLoad {
		return own, own
	}
	report := &replica.Load
	return max(own, report.Running-report.RunningBatch+report.Waiting-report.WaitingBatch+since), own
}
