package balance

import (
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Service string
	// Zone is the zone of this process.
	Zone string
	// PartKey identifies the deepest prompt part that the request shares with others; it is empty if there is none.
	PartKey string
	// PartTokens counts the prompt tokens up to and including that part, Tokens those of the whole prompt.
	PartTokens int
	Tokens     int
	// BodyBytes is the size of the request body that is sent to the replica.
	BodyBytes int
	// Objective is the time within which the response should begin; 0 if latency does not matter.
	Objective time.Duration
	// Excluded holds the replicas that the request was already sent to.
	Excluded []*replica.Handle
	// MaxOccupancy is the occupancy (0 to 1) from which on a replica gets no such request; 0 means no limit.
	MaxOccupancy float64
	// ZoneWeight scales the distance penalty; 0 means 1.
	ZoneWeight float64

	// Origin is that of the answer that the replica has to go on with; zero if the answer has not begun.
	Origin replica.Origin
	// Homes holds the regions whose replicas may get the request.
	Homes region.Set

	// longPromptReplicas holds the replicas that are set apart for long prompts; Pick sets it.
	longPromptReplicas map[*replica.Handle]bool
	// topology maps zones to regions; Pick sets it.
	topology region.Topology
}

// distanceTo returns the distance of the replica from this process's zone.
func (r *Request) distanceTo(handle *replica.Handle) region.Distance {
	return r.topology.Between(r.Zone, handle.Info().Zone)
}

// Filter reports whether a replica can take a request.
type Filter func(request *Request, handle *replica.Handle, now time.Time) bool

// Scorer rates a replica for a request; higher is better. 1 is about the difference between an idle and a full replica.
type Scorer func(request *Request, handle *replica.Handle, now time.Time) float64

// Picker chooses replicas. It is safe for concurrent use.
type Picker struct {
	directory *replica.Directory
	topology  region.Topology
	required  []Filter
	preferred []Filter
	scorers   []Scorer
	random    func() float64
	mix       *promptMix
}

// scoreNoise is the largest random addition to a score. It spreads the choices of processes that see the same load.
const scoreNoise = 0.04

// NewPicker returns a Picker for the replicas in directory, with zones mapped to regions by topology. random returns numbers in [0, 1); nil
// stands for math/rand.
func NewPicker(directory *replica.Directory, topology region.Topology, random func() float64) *Picker {
	if random == nil {
		random = rand.Float64
	}
	picker := &Picker{
		directory: directory,
		topology:  topology,
		required:  []Filter{notExcluded, usable, ofOrigin, underOccupancy, hasColdCapacity},
		preferred: []Filter{inReachableZone, notAvoided},
		scorers: []Scorer{
			occupancyScore, zoneScore, partScore, failureScore, longPromptScore, queuedPrefillScore, coldScore, paceScore, slowdownScore,
		},
		random: random,
		mix:    newPromptMix(),
	}
	picker.required = append(picker.required, picker.inAllowedRegions)
	return picker
}

// Pick returns the best replica for request, or nil if none can take it. A preferred filter applies only if some replica passes it.
func (p *Picker) Pick(request *Request, now time.Time) *replica.Handle {
	p.mix.observe(request)
	request.topology = p.topology
	request.longPromptReplicas = p.selectLongPromptReplicas(request)
	replicas := p.directory.View().ForService(request.Service)
	eligible := filter(request, replicas, p.required, now)
	for index := range p.preferred {
		if preferred := filter(request, eligible, p.preferred[index:index+1], now); len(preferred) > 0 {
			eligible = preferred
		}
	}
	sample := newSample(request, eligible)
	var best *replica.Handle
	var bestScore float64
	for _, handle := range eligible {
		score := scoreNoise*p.random() - sample.penalty(request, handle, p.random)
		for _, scorer := range p.scorers {
			score += scorer(request, handle, now)
		}
		if best == nil || score > bestScore {
			best, bestScore = handle, score
		}
	}
	markColdWanted(request, replicas, best, now)
	return best
}

// filter returns the replicas that pass all filters.
func filter(request *Request, handles []*replica.Handle, filters []Filter, now time.Time) []*replica.Handle {
	kept := make([]*replica.Handle, 0, len(handles))
	for _, handle := range handles {
		keep := true
		for _, check := range filters {
			keep = keep && check(request, handle, now)
		}
		if keep {
			kept = append(kept, handle)
		}
	}
	return kept
}
