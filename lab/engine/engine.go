package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

const (
	// maxStepLag is how far the step loop may fall behind its schedule before it gives up catching up.
	maxStepLag = 20 * time.Millisecond
	// loadSampleInterval is the interval between two entries of the load history.
	loadSampleInterval = 20 * time.Millisecond
	headerTimeout      = 5 * time.Second
)

// Engine is one emulated replica behind a real HTTP listener. It is safe for concurrent use.
type Engine struct {
	options Options
	address netip.AddrPort
	gate    *gate

	// mutex guards everything below.
	mutex     sync.Mutex
	scheduler scheduler
	cache     *prefixCache
	runs      map[string]*run
	arrivals  uint64
	models    []modelengine.LoadedModel
	role      string
	fence     uint64
	leaving   bool
	slowdown  float64
	lastStep  time.Duration
	// clock is the engine time: the sum of the durations of all steps.
	clock   time.Duration
	history loadHistory
	up      bool
	server  *http.Server
	// ended is closed when the engine is killed or stopped; each start makes a new one.
	ended chan struct{}
	// work wakes the step loop.
	work chan struct{}
	// loops waits for the goroutines of the current start.
	loops sync.WaitGroup
}

// New returns an engine that is not listening yet.
func New(options Options) *Engine {
	if options.Log == nil {
		options.Log = NewRunLog()
	}
	return &Engine{options: options, gate: newGate(), slowdown: 1}
}

// Start listens on address (port 0 picks a free one) with an empty state. After a Kill
// it ignores address and listens on the previous one.
func (e *Engine) Start(address string) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.address.IsValid() {
		address = e.address.String()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for replica %s: %w", e.options.Replica, err)
	}
	e.address = listener.Addr().(*net.TCPAddr).AddrPort()
	e.reset()
	server := &http.Server{Handler: e.gate.hold(e.router()), ReadHeaderTimeout: headerTimeout}
	e.server, e.up = server, true
	e.ended, e.work = make(chan struct{}), make(chan struct{}, 1)
	ended, work := e.ended, e.work
	e.loops.Go(func() { _ = server.Serve(listener) })
	e.loops.Go(func() { e.stepLoop(ended, work) })
	e.loops.Go(func() { e.sampleLoop(ended) })
	return nil
}

// reset sets the state to that of a new process.
func (e *Engine) reset() {
	events := eventLog{
		// A restarted engine continues with a higher sequence, so that followers see a gap.
		sequence: uint64(time.Now().UnixMicro()),

		lag:    e.options.CacheEventLag,
		loss:   e.options.CacheEventLoss,
		random: rand.New(rand.NewPCG(e.options.Seed, uint64(e.address.Port()))),
	}
	e.scheduler = scheduler{options: &e.options}
	e.cache = newPrefixCache(e.options.CacheBlocks, events)
	e.cache.events.publish(eventCleared, nil, time.Now())
	e.runs = map[string]*run{}
	e.models = append([]modelengine.LoadedModel(nil), e.options.Models...)
	e.fence, e.leaving, e.role = 0, false, ""
	e.history = loadHistory{}
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() netip.AddrPort {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.address
}

// Replica returns the engine's name.
func (e *Engine) Replica() string { return e.options.Replica }

// Log returns the log of the engine's runs.
func (e *Engine) Log() *RunLog { return e.options.Log }

// Kill closes all connections and discards all state. Start starts the engine again.
func (e *Engine) Kill() {
	e.mutex.Lock()
	if !e.up {
		e.mutex.Unlock()
		return
	}
	e.up = false
	close(e.ended)
	for _, entry := range e.runs {
		if !entry.ended() {
			e.options.Log.ended(entry, false, false)
		}
		entry.stopExpiry()
	}
	e.runs = map[string]*run{}
	e.scheduler = scheduler{options: &e.options}
	server := e.server
	e.mutex.Unlock()
	e.gate.open()
	_ = server.Close()
	e.loops.Wait()
}

// Stop is Kill without an error. For a planned stop call Leave and wait until Running is 0 first.
func (e *Engine) Stop(context.Context) error {
	e.Kill()
	return nil
}

// Freeze suspends the engine's steps and responses until Thaw; connections stay open.
func (e *Engine) Freeze() { e.gate.close() }

// Thaw ends a Freeze.
func (e *Engine) Thaw() { e.gate.open() }

// Slow makes every step take factor times as long.
func (e *Engine) Slow(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slowdown = factor
}

// Leave makes the engine refuse new runs; current runs continue.
func (e *Engine) Leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = true
}

// SetLoadLag changes the delay of load reports.
func (e *Engine) SetLoadLag(lag time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.options.LoadLag = lag
}

// LoseCacheEvents changes the share of cache events that are never published.
func (e *Engine) LoseCacheEvents(share float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cache.events.loss = share
	e.options.CacheEventLoss = share
}

// Serves reports whether this version of a model is the only model of the engine and is ready.
func (e *Engine) Serves(model, version string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.models) == 1 && e.models[0].Model == model && e.models[0].Version == version && e.models[0].State == modelReady
}

// Running returns the number of runs that are queued or running.
func (e *Engine) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.scheduler.running) + len(e.scheduler.waiting)
}

// stepLoop computes one step after the other and waits while there is no work.
func (e *Engine) stepLoop(ended <-chan struct{}, work <-chan struct{}) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := time.Now()
	for {
		if !e.gate.wait(ended) {
			return
		}
		duration := e.beginStep()
		if duration == 0 {
			select {
			case <-ended:
				return
			case <-work:
			}
			due = time.Now()
			continue
		}
		due = due.Add(duration)
		if lag := time.Since(due); lag > maxStepLag {
			due = time.Now()
		}
		timer.Reset(time.Until(due))
		select {
		case <-ended:
			return
		case <-timer.C:
		}
		e.endStep(duration)
	}
}

func (e *Engine) beginStep() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	for _, entry := range e.scheduler.admit() {
		e.prepare(entry, now)
	}
	duration := time.Duration(float64(e.scheduler.plan()) * e.slowdown)
	if duration > 0 {
		e.lastStep = duration
	}
	return duration
}

// prepare looks up the cached prefix of a run that enters the batch and sets its remaining prefill.
func (e *Engine) prepare(entry *run, now time.Time) {
	text := entry.text()
	cached := e.cache.match(modelengine.PrefixBlocks(entry.model, entry.adapter, text))
	entry.cachedTokens = cached * modelengine.PrefixBlockBytes / bytesPerPromptToken
	entry.prefillLeft = max(PromptTokens(text)-entry.cachedTokens, 1)
	entry.started = true
	e.options.Log.started(entry, e.options.Replica, now)
}

// endStep applies the planned step, which took duration of engine time.
func (e *Engine) endStep(duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.up {
		return
	}
	now := time.Now()
	e.clock += duration
	e.scheduler.noteTimes(e.options.Log, e.clock)
	for _, entry := range e.scheduler.running {
		if entry.prefilling > 0 && entry.decoding {
			e.storePrefix(entry, now)
		}
	}
	e.options.Log.computed(e.scheduler.planned())
	for _, entry := range e.scheduler.complete() {
		e.finish(entry, now)
	}
	for _, entry := range e.scheduler.running {
		if !entry.batch || entry.produced%e.options.BatchFlushTokens == 0 {
			entry.notify()
		}
	}
}

func (e *Engine) storePrefix(entry *run, now time.Time) {
	e.cache.store(modelengine.PrefixBlocks(entry.model, entry.adapter, entry.text()), now)
}

func (e *Engine) finish(entry *run, now time.Time) {
	e.storePrefix(entry, now)
	e.options.Log.ended(entry, true, false)
	e.scheduleRemoval(entry)
	entry.notify()
}

// cancel ends a run unless it has ended; its output so far can still be read.
func (e *Engine) cancel(entry *run, now time.Time) {
	if entry.ended() {
		return
	}
	e.scheduler.remove(entry)
	if entry.started {
		e.storePrefix(entry, now)
	}
	entry.state = stateCancelled
	entry.decoding, entry.prefilling = false, 0
	e.options.Log.ended(entry, false, true)
	e.scheduleRemoval(entry)
	entry.notify()
}

// scheduleRemoval removes an ended run after its retention.
func (e *Engine) scheduleRemoval(entry *run) {
	entry.stopExpiry()
	entry.expiry = time.AfterFunc(e.options.RunRetention, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.runs[entry.id] == entry && entry.ended() {
			delete(e.runs, entry.id)
		}
	})
}

func (r *run) stopExpiry() {
	if r.expiry != nil {
		r.expiry.Stop()
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}
