package platform

import (
	"sync"
	"time"
)

const (
	// shortestPatience and longestPatience bound the wait for an answer that is not held back on purpose.
	shortestPatience = 400 * time.Millisecond
	longestPatience  = 4 * time.Second
	// patienceOfLatency is how many times the last answer's time the next one may take.
	patienceOfLatency = 4
)

// patience is how long an answer is waited for. A service that comes back after silence does not answer what was sent before, so the
// wait is short at first; one that is slow is given more time with each answer that does not come. It is safe for concurrent use.
type patience struct {
	mutex sync.Mutex
	wait  time.Duration
}

func newPatience() *patience { return &patience{wait: shortestPatience} }

func (p *patience) bound() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.wait
}

// answered notes that an answer took so long.
func (p *patience) answered(took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wait = min(max(patienceOfLatency*took, shortestPatience), longestPatience)
}

// missed notes that no answer came within waited. Calls that waited together lengthen the wait once.
func (p *patience) missed(waited time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wait = min(max(p.wait, 2*waited), longestPatience)
}
