package balance

import (
	"math"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// longPromptTokens is the length from which on the reading of a prompt holds up the other requests of its replica.
	longPromptTokens = 3000
	// longShareWeight is the part of the replicas set apart, in relation to the part of all prompt tokens that are in long prompts: a
	// good part of these is found in the replicas' caches.
	longShareWeight = 0.45
	// leastLongShare is the part of tokens in long prompts below which no replica is set apart.
	leastLongShare = 0.05
	// shareHalfLife is the number of requests after which an observation counts half.
	shareHalfLife = 200
	// longPromptBonus draws long prompts to the replicas set apart, shortPromptPenalty keeps short ones away.
	longPromptBonus    = 0.3
	shortPromptPenalty = 0.35
	// readingWeight is what each longPromptTokens cost that wait at the replica to be read, by whichever node they were sent: it takes
	// some 50 ms to read them, and all that come later wait (policy.md, round 15).
	readingWeight = 0.25
	// mostReading bounds that.
	mostReading = 1.5
)

// promptMix observes which part of the prompt tokens of each service is in long prompts. It is safe for concurrent use.
type promptMix struct {
	mutex  sync.Mutex
	byName map[string]tokenCounts
}

type tokenCounts struct{ long, all float64 }

func newPromptMix() *promptMix { return &promptMix{byName: map[string]tokenCounts{}} }

func (m *promptMix) observe(request *Request) {
	if request.Tokens <= 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := m.byName[request.Service]
	fade := math.Exp2(-1.0 / shareHalfLife)
	counts.all = counts.all*fade + float64(request.Tokens)
	counts.long *= fade
	if request.Tokens >= longPromptTokens {
		counts.long += float64(request.Tokens)
	}
	m.byName[request.Service] = counts
}

// longShare is the part of the prompt tokens that is in long prompts.
func (m *promptMix) longShare(service string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := m.byName[service]
	if counts.all == 0 {
		return 0
	}
	return counts.long / counts.all
}

// setApart returns the replicas of each zone that take long prompts: the first ones in the order of their IDs, so that all
// processes that see the same mix set the same ones apart.
func (p *Picker) setApart(request *Request) map[*replica.Handle]bool {
	share := p.mix.longShare(request.Service)
	if share < leastLongShare || share > 1-leastLongShare {
		return nil
	}
	inZone := map[string][]*replica.Handle{}
	for _, handle := range p.directory.View().Of(request.Service) {
		if handle.Usable() {
			zone := handle.Info().Zone
			inZone[zone] = append(inZone[zone], handle)
		}
	}
	apart := map[*replica.Handle]bool{}
	for _, handles := range inZone {
		if len(handles) < 2 {
			continue
		}
		count := max(1, int(math.Round(float64(len(handles))*share*longShareWeight)))
		for _, handle := range handles[:min(count, len(handles)-1)] {
			apart[handle] = true
		}
	}
	return apart
}

// readingScore prefers replicas that have little to read.
func readingScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	return -min(mostReading, readingWeight*float64(handle.Reading(now))/longPromptTokens)
}

// prefillScore keeps short prompts from waiting behind long ones.
func prefillScore(request *Request, handle *replica.Handle, _ time.Time) float64 {
	switch {
	case request.Tokens <= 0 || !request.apart[handle]:
		return 0
	case request.Tokens >= longPromptTokens:
		return longPromptBonus
	default:
		return -shortPromptPenalty
	}
}
