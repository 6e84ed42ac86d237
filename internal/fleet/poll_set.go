package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/pause"
)

// pollSet runs one goroutine for each replica that this node is home to. set is
// called by the control goroutine only.
type pollSet struct {
	service  *Service
	interval time.Duration
	polls    map[string]pollHandle
	running  sync.WaitGroup
}

type pollHandle struct {
	endpoint engine.Endpoint
	cancel   context.CancelFunc
}

func newPollSet(service *Service) *pollSet {
	return &pollSet{service: service, polls: make(map[string]pollHandle)}
}

// set starts and stops goroutines so that they match the wanted set.
func (p *pollSet) set(wanted setPolls) {
	changed := p.interval != wanted.interval
	p.interval = wanted.interval
	for id, handle := range p.polls {
		if endpoint, keep := wanted.endpoints[id]; !keep || endpoint != handle.endpoint || changed {
			handle.cancel()
			delete(p.polls, id)
		}
	}
	for id, endpoint := range wanted.endpoints {
		if _, present := p.polls[id]; present {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		p.polls[id] = pollHandle{endpoint: endpoint, cancel: cancel}
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			p.poll(ctx, endpoint, wanted.interval)
		}()
	}
}

// stop ends all goroutines; the control goroutine has ended before.
func (p *pollSet) stop() {
	for _, handle := range p.polls {
		handle.cancel()
	}
	p.running.Wait()
}

func (p *pollSet) poll(ctx context.Context, endpoint engine.Endpoint, interval time.Duration) {
	cacheAt := time.Now()
	var sequence uint64
	for {
		latest := p.pollLoad(ctx, endpoint, sequence)
		if latest < sequence {
			p.service.cache.restarted(endpoint.Replica)
		}
		sequence = latest
		if every := p.service.options.CachePoll; every > 0 && time.Since(cacheAt) >= max(every, interval) {
			cacheAt = time.Now()
			p.service.cache.poll(ctx, endpoint)
		}
		if !pause.Sleep(ctx, interval) {
			return
		}
	}
}

// pollLoad asks once and returns the sequence of the report, or the one before where there is none.
func (p *pollSet) pollLoad(ctx context.Context, endpoint engine.Endpoint, before uint64) uint64 {
	callContext, cancel := context.WithTimeout(ctx, p.service.options.PollTimeout)
	defer cancel()
	report, err := p.service.engines.Load(callContext, endpoint)
	if ctx.Err() == nil {
		p.service.push(loadPolled{replica: endpoint.Replica, report: report, failed: err != nil})
	}
	if err != nil {
		return before
	}
	return report.Sequence
}
