package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// ProbeInterval is the minimum time between two probes.
	ProbeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe. It is several times the interval, so that a slow service is found to answer.
	probeTimeout = 2 * time.Second
)

// prober finds out whether a service answers, by probes while calls are overdue. A probe does not wait for the earlier ones, since a
// service that recovers never answers those. It is safe for concurrent use.
type prober struct {
	// probe makes one probe; nil for none. interval returns the mean time between two probes, and needed reports whether any call is
	// overdue.
	probe    func(ctx context.Context)
	interval func() time.Duration
	needed   func() bool
	// wake makes a probe at once. ctx ends when the prober is closed.
	wake  chan struct{}
	ctx   context.Context
	close context.CancelFunc

	// mutex guards running.
	mutex   sync.Mutex
	running bool
}

func newProber(needed func() bool) *prober {
	ctx, cancel := context.WithCancel(context.Background())
	return &prober{
		interval: func() time.Duration { return ProbeInterval }, needed: needed, wake: make(chan struct{}, 1), ctx: ctx, close: cancel,
	}
}

// start probes the service until no call is overdue.
func (p *prober) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.probe != nil && !p.running {
		p.running = true
		go p.run()
	}
}

// run makes probes until none is needed.
func (p *prober) run() {
	p.probeByChance()
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for p.continues() {
		select {
		case <-ticker.C:
			p.probeByChance()
		case <-p.wake:
			go p.probeOnce()
		case <-p.ctx.Done():
			return
		}
	}
}

// probeByChance, called once per ProbeInterval, makes a probe with a probability that gives the mean interval. So the probes of many nodes
// are spread, and a changed interval takes effect at once.
func (p *prober) probeByChance() {
	if rand.Float64()*float64(p.interval()) < float64(ProbeInterval) {
		go p.probeOnce()
	}
}

// continues reports whether a probe is needed, and otherwise records that none are made any more.
func (p *prober) continues() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running = p.needed()
	return p.running
}

// probeNow makes a probe at once, or as soon as a call is overdue.
func (p *prober) probeNow() { subscription.Signal(p.wake) }

func (p *prober) probeOnce() {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	p.probe(ctx)
}
