package balance

import (
	"math"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// longPromptTokens is the prompt length from which on prefill delays the other requests of a replica.
	longPromptTokens = 3000
	// longPromptReplicaWeight is the ratio of the share of replicas set apart for long prompts to the share of prompt tokens in long
	// prompts. It is below 1 because many of these tokens are found in the replicas' caches.
	longPromptReplicaWeight = 0.45
	// minLongShare is the share of prompt tokens in long prompts, or in short ones, below which no replica is set apart.
	minLongShare = 0.05
	// shareHalfLifeRequests is the number of requests after which the weight of an observation has halved.
	shareHalfLifeRequests = 200
	// longPromptBonus attracts long prompts to the replicas set apart for them, shortPromptPenalty keeps short ones away.
	longPromptBonus    = 0.3
	shortPromptPenalty = 0.35
	// queuedPrefillWeight is the penalty for every longPromptTokens prompt tokens that wait for prefill at a replica, from all nodes. Their
	// prefill takes some 50 ms, during which later requests wait.
	queuedPrefillWeight = 0.25
	// maxQueuedPrefillPenalty bounds the penalty for prompt tokens that wait for prefill.
	maxQueuedPrefillPenalty = 1.5
)

// promptMix tracks the share of prompt tokens in long prompts for each service. It is safe for concurrent use.
type promptMix struct {
	mutex     sync.Mutex
	byService map[string]tokenCounts
}

// tokenCounts holds exponentially decaying counts of prompt tokens: those in long prompts, and all.
type tokenCounts struct{ long, all float64 }

func newPromptMix() *promptMix { return &promptMix{byService: map[string]tokenCounts{}} }

func (m *promptMix) observe(request *Request) {
	if request.Tokens <= 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := m.byService[request.Service]
	decay := math.Exp2(-1.0 / shareHalfLifeRequests)
	counts.all = counts.all*decay + float64(request.Tokens)
	counts.long *= decay
	if request.Tokens >= longPromptTokens {
		counts.long += float64(request.Tokens)
	}
	m.byService[request.Service] = counts
}

// longShare returns the share of prompt tokens in long prompts.
func (m *promptMix) longShare(service string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := m.byService[service]
	if counts.all == 0 {
		return 0
	}
	return counts.long / counts.all
}

// selectLongPromptReplicas returns the replicas of each zone that are set apart for long prompts: the first ones by ID, so that all
// processes that see the same mix select the same ones. A zone with a single replica sets none apart.
func (p *Picker) selectLongPromptReplicas(request *Request) map[*replica.Handle]bool {
	share := p.mix.longShare(request.Service)
	if share < minLongShare || share > 1-minLongShare {
		return nil
	}
	byZone := map[string][]*replica.Handle{}
	for _, handle := range p.directory.View().ForService(request.Service) {
		if handle.Usable() {
			zone := handle.Info().Zone
			byZone[zone] = append(byZone[zone], handle)
		}
	}
	selected := map[*replica.Handle]bool{}
	for _, handles := range byZone {
		if len(handles) < 2 {
			continue
		}
		count := max(1, int(math.Round(float64(len(handles))*share*longPromptReplicaWeight)))
		for _, handle := range handles[:min(count, len(handles)-1)] {
			selected[handle] = true
		}
	}
	return selected
}

// queuedPrefillScore penalizes replicas at which many prompt tokens wait for prefill.
func queuedPrefillScore(_ *Request, handle *replica.Handle, now time.Time) float64 {
	return -min(maxQueuedPrefillPenalty, queuedPrefillWeight*float64(handle.Reading(now))/longPromptTokens)
}

// longPromptScore attracts long prompts to the replicas set apart for them and keeps short prompts away, which would wait behind long ones.
func longPromptScore(request *Request, handle *replica.Handle, _ time.Time) float64 {
	switch {
	case request.Tokens <= 0 || !request.longPromptReplicas[handle]:
		return 0
	case request.Tokens >= longPromptTokens:
		return longPromptBonus
	default:
		return -shortPromptPenalty
	}
}
