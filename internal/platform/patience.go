package platform

import (
	"context"
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

// patience is how long an answer, or more of it, is waited for. A service that comes back after silence does not answer what was sent before, so
// the wait is short at first; one that is slow is given more time with each answer that does not come. It is safe for concurrent use.
type patience struct {
	mutex sync.Mutex
	wait  time.Duration
}

func newPatience() *patience { return &patience{wait: shortestPatience} }

// call makes a call through caller whose answer may be held back for hold, and waits for it that much longer and no longer than is patient.
// The wait begins again whenever exchange calls came, as more of the answer has come: where many nodes read much at once, each answer takes long,
// and trying again would lengthen all of them.
// Without an answer the kept connections are given up: they may go silent together, without a reset, and each would cost a call more, and
// longer patience.
func (p *patience) call(ctx context.Context, hold time.Duration, caller *httpCaller, exchange func(ctx context.Context, came func()) error) error {
	wait := p.bound()
	bounded, giveUp := context.WithCancel(ctx)
	defer giveUp()
	timer := time.AfterFunc(hold+wait, giveUp)
	defer timer.Stop()
	began := time.Now()
	err := exchange(bounded, func() { timer.Reset(wait) })
	switch {
	case err == nil:
		p.answered(time.Since(began) - hold)
	case bounded.Err() != nil && ctx.Err() == nil:
		p.missed(wait)
		caller.close()
	}
	return err
}

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
