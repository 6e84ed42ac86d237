package replica

import (
	"sync"
	"time"
)

const (
	// paceStep is the length of the steps in which requests are counted.
	paceStep = time.Second
	// paceGrowth is how many times the usual rate a replica may get without a penalty: callers come in bursts of twice their average.
	paceGrowth = 2
	// paceWeight is the part of the newest step in the usual rate; the last ten seconds or so count.
	paceWeight = 0.2
	// forgottenAfter is the number of steps after which nothing is left of the running average.
	forgottenAfter = 40
)

// pace counts what this process sends to a replica. It is safe for concurrent use.
type pace struct {
	mutex sync.Mutex
	// step is the number of the present step, sent what was sent in it, usual the running average of the steps before.
	step  int64
	sent  int
	usual float64
}

func (p *pace) note(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.advance(now)
	p.sent++
}

// ahead returns by how many requests the present step exceeds paceGrowth times the usual number; a first one does not count.
func (p *pace) ahead(now time.Time) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.advance(now)
	return max(0, float64(p.sent)-paceGrowth*p.usual-1)
}

// advance ends the steps that are over. The mutex is held.
func (p *pace) advance(now time.Time) {
	present := int64(now.Sub(processStart) / paceStep)
	if present < p.step || present-p.step > forgottenAfter {
		p.step, p.sent, p.usual = present, 0, 0
	}
	for p.step < present {
		p.usual += paceWeight * (float64(p.sent) - p.usual)
		p.sent = 0
		p.step++
	}
}

// NoteSent counts a request that this process sends there.
func (h *Handle) NoteSent(now time.Time) { h.pace.note(now) }

// Ahead returns by how many requests this process exceeds, in the present second, what it sent there lately.
func (h *Handle) Ahead(now time.Time) float64 { return h.pace.ahead(now) }
