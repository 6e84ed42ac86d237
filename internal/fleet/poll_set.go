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

// set starts and stops goroutines to match the wanted set.
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

// stop stops all goroutines and waits for them. It must be called after the control goroutine has ended.
func (p *pollSet) stop() {
	for _, handle := range p.polls {
		handle.cancel()
	}
	p.running.Wait()
}

// poll polls one engine until ctx ends. A load sequence below the previous one shows that the engine has restarted.
func (p *pollSet) poll(ctx context.Context, endpoint engine.Endpoint, interval time.Duration) {
	cacheAt := time.Now()
	var sequence uint64
	for {
		reported := p.pollLoad(ctx, endpoint, sequence)
		if reported < sequence {
			p.service.cache.engineRestarted(endpoint.Replica)
		}
		sequence = reported
		if cachePoll := p.service.options.CachePoll; cachePoll > 0 && time.Since(cacheAt) >= max(cachePoll, interval) {
			cacheAt = time.Now()
			p.service.cache.poll(ctx, endpoint)
		}
		if !pause.Sleep(ctx, interval) {
			return
		}
	}
}

// pollLoad polls the engine's load once and returns the sequence of the report, or previous if the poll failed.
func (p *pollSet) pollLoad(ctx context.Context, endpoint engine.Endpoint, previous uint64) uint64 {
	callContext, cancel := context.WithTimeout(ctx, p.service.options.PollTimeout)
	defer cancel()
	report, err := p.service.engines.Load(callContext, endpoint)
	if ctx.Err() == nil {
		p.service.push(loadPolled{replica: endpoint.Replica, report: report, failed: err != nil})
	}
	if err != nil {
		return previous
	}
	return report.Sequence
}
