package job

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/settings"
)

// dispatcher runs the items of all partitions that this node owns. Its core
// belongs to one goroutine; each item in flight has its own.
type dispatcher struct {
	credits  admission.CreditSource
	engines  engine.Client
	reporter fleet.Reporter
	models   config.Source
	metrics  *metrics
	logger   zerolog.Logger

	core   *dispatchCore
	events chan dispatchEvent
	// waits holds the cancel of each item's wait for a credit; it belongs to the loop.
	waits map[flightKey]context.CancelFunc

	stopped chan struct{}
	group   sync.WaitGroup
}

// dispatcherParams are what a dispatcher works with.
type dispatcherParams struct {
	fx.In

	Settings settings.Settings
	Credits  admission.CreditSource
	Engines  engine.Client
	Reporter fleet.Reporter
	Models   config.Source
	Metrics  *metrics
	Logger   zerolog.Logger
}

func newDispatcher(params dispatcherParams) *dispatcher {
	return &dispatcher{
		credits: params.Credits, engines: params.Engines, reporter: params.Reporter, models: params.Models, metrics: params.Metrics,
		logger:  params.Logger.With().Str(logging.FieldSlice, sliceName).Logger(),
		core:    newDispatchCore(params.Settings.Limits.BatchConcurrency),
		events:  make(chan dispatchEvent),
		waits:   make(map[flightKey]context.CancelFunc),
		stopped: make(chan struct{}),
	}
}

// start begins the loop.
func (d *dispatcher) start() {
	d.group.Add(1)
	go d.runLoop()
}

// stop ends the loop and waits for the items in flight, whose jobs must have ended.
func (d *dispatcher) stop() {
	close(d.stopped)
	d.group.Wait()
}

func (d *dispatcher) add(run *jobRun)    { d.send(jobAdded{run.dispatched}) }
func (d *dispatcher) remove(run *jobRun) { d.send(jobRemoved{run.dispatched}) }

func (d *dispatcher) send(event dispatchEvent) {
	select {
	case d.events <- event:
	case <-d.stopped:
	}
}

func (d *dispatcher) runLoop() {
	defer d.group.Done()
	defer d.stopWaits()
	for {
		select {
		case event := <-d.events:
			if left, ok := event.(itemLeft); ok {
				delete(d.waits, left.key)
			}
			for _, action := range d.core.step(event) {
				d.act(action)
			}
			d.metrics.itemsWaiting.Set(float64(d.core.waiting))
			d.metrics.itemsRunning.Set(float64(d.core.running))
		case <-d.stopped:
			return
		}
	}
}

func (d *dispatcher) stopWaits() {
	for _, cancel := range d.waits {
		cancel()
	}
}

func (d *dispatcher) act(action dispatchAction) {
	switch typed := action.(type) {
	case startItem:
		run := typed.key.job.run
		waitContext, cancel := context.WithCancel(run.ctx)
		d.waits[typed.key] = cancel
		item := &itemRun{dispatcher: d, job: run, key: typed.key, progress: typed.progress, wait: waitContext}
		d.group.Add(1)
		go func() {
			defer d.group.Done()
			defer cancel()
			requeue := item.run()
			d.send(itemLeft{typed.key, requeue})
		}()
	case stopWaiting:
		if cancel := d.waits[typed.key]; cancel != nil {
			cancel()
		}
	}
}
