package balance

import (
	"math/rand/v2"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

// Request is what a choice depends on.
type Request struct {
	Service string
	// Zone is the zone of this process.
	Zone string
	// PartKey names the deepest prompt part that the request shares with others; empty where it names none.
	PartKey string
	// PartTokens are the tokens up to and with that part, Tokens those of the whole prompt.
	PartTokens int
	Tokens     int
	// BodyBytes is the size of what is sent to the replica.
	BodyBytes int
	// Objective is the time within which the answer is to begin; zero where latency does not matter.
	Objective time.Duration
	// Excluded replicas have had the request.
	Excluded []*replica.Handle
	// MaxOccupancy, where it is above 0, is the largest share of a replica's slots in use that is allowed.
	MaxOccupancy float64
	// ZoneWeight scales what another zone costs; zero stands for 1.
	ZoneWeight float64

	// Homes are the regions in which a replica may get the request.
	Homes region.Set

	// apart holds the replicas that take long prompts.
	apart map[*replica.Handle]bool
	// topology knows how far replicas are.
	topology region.Topology
}

// distanceTo returns how far from this process's zone the replica is.
func (r *Request) distanceTo(handle *replica.Handle) region.Distance {
	return r.topology.Between(r.Zone, handle.Info().Zone)
}

// Filter drops replicas that cannot take a request.
type Filter func(request *Request, handle *replica.Handle, now time.Time) bool

// Scorer rates a replica for a request; higher is better, 1 is about the worth of a whole replica's room.
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

// scoreNoise spreads the choices of processes that know the same.
const scoreNoise = 0.04

// NewPicker returns the picker of online requests in zones that lie as topology says. random returns numbers from 0 to 1; nil is the default source.
func NewPicker(directory *replica.Directory, topology region.Topology, random func() float64) *Picker {
	if random == nil {
		random = rand.Float64
	}
	picker := &Picker{
		directory: directory,
		topology:  topology,
		required:  []Filter{notExcluded, usable, underOccupancy, coldRoom},
		preferred: []Filter{inReachedZone, notAvoided},
		scorers:   []Scorer{occupancyScore, zoneScore, partScore, failureScore, prefillScore, readingScore, coldScore, paceScore, slowdownScore},
		random:    random,
		mix:       newPromptMix(),
	}
	picker.required = append(picker.required, picker.inHomes)
	return picker
}

// Pick returns the best replica for request; nil where none can take it.
func (p *Picker) Pick(request *Request, now time.Time) *replica.Handle {
	p.mix.observe(request)
	request.topology = p.topology
	request.apart = p.setApart(request)
	all := p.directory.View().Of(request.Service)
	able := filter(request, all, p.required, now)
	for index := range p.preferred {
		if preferred := filter(request, able, p.preferred[index:index+1], now); len(preferred) > 0 {
			able = preferred
		}
	}
	sample := newSample(request, able)
	var best *replica.Handle
	var bestScore float64
	for _, handle := range able {
		score := scoreNoise*p.random() - sample.penalty(request, handle, p.random)
		for _, scorer := range p.scorers {
			score += scorer(request, handle, now)
		}
		if best == nil || score > bestScore {
			best, bestScore = handle, score
		}
	}
	wantCold(request, all, best, now)
	return best
}

func filter(request *Request, handles []*replica.Handle, filters []Filter, now time.Time) []*replica.Handle {
	kept := make([]*replica.Handle, 0, len(handles))
	for _, handle := range handles {
		passes := true
		for _, check := range filters {
			passes = passes && check(request, handle, now)
		}
		if passes {
			kept = append(kept, handle)
		}
	}
	return kept
}
