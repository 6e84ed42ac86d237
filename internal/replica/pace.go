package replica

import (
	"sync"
	"time"
)

const (
	// paceStep is the interval in which requests are counted.
	paceStep = time.Second
	// paceBurstFactor is the multiple of its usual rate that a replica may receive without a penalty: callers' bursts reach twice their
	// average rate.
	paceBurstFactor = 2
	// paceWeight is the weight of the newest step in the moving average, which thus covers about the last ten seconds.
	paceWeight = 0.2
	// maxStepGap is the number of steps without requests after which the moving average is negligible and is reset.
	maxStepGap = 40
)

// pace tracks the rate at which this process sends requests to a replica. It is safe for concurrent use.
type pace struct {
	mutex sync.Mutex
	// step is the number of the current step, sent counts its requests, and usualPerStep is the moving average of the steps before it.
	step         int64
	sent         int
	usualPerStep float64
}

func (p *pace) note(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.advance(now)
	p.sent++
}

// excess returns by how many requests the current step exceeds paceBurstFactor times the usual number. The first request of a step is
// not counted.
func (p *pace) excess(now time.Time) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.advance(now)
	return max(0, float64(p.sent)-paceBurstFactor*p.usualPerStep-1)
}

// advance closes the steps that ended before now. The mutex must be held.
func (p *pace) advance(now time.Time) {
	present := int64(now.Sub(processStart) / paceStep)
	if present < p.step || present-p.step > maxStepGap {
		p.step, p.sent, p.usualPerStep = present, 0, 0
	}
	for p.step < present {
		p.usualPerStep += paceWeight * (float64(p.sent) - p.usualPerStep)
		p.sent = 0
		p.step++
	}
}

// NoteSent counts a request that this process sends to the replica.
func (h *Handle) NoteSent(now time.Time) { h.pace.note(now) }

// PaceExcess returns by how many requests this process exceeds, in the current second, paceBurstFactor times its usual rate to the replica.
func (h *Handle) PaceExcess(now time.Time) float64 { return h.pace.excess(now) }
