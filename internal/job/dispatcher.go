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

// dispatcher runs the items of all partitions that this node owns. Its core is confined
// to the loop goroutine; each item in flight has a goroutine of its own.
type dispatcher struct {
	credits  admission.CreditSource
	engines  engine.Client
	reporter fleet.Reporter
	models   config.Source
	metrics  *metrics
	logger   zerolog.Logger

	core   *dispatchCore
	events chan dispatchEvent
	// waitCancels cancels the wait for a credit of each item in flight; only the loop
	// goroutine uses it.
	waitCancels map[itemKey]context.CancelFunc

	stopped chan struct{}
	group   sync.WaitGroup
}

// dispatcherParams are the dependencies of a dispatcher.
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
		credits: params.Credits, engines: params.Engines, reporter: params.Reporter,
		models: params.Models, metrics: params.Metrics,
		logger:      params.Logger.With().Str(logging.FieldSlice, sliceName).Logger(),
		core:        newDispatchCore(params.Settings.Limits.BatchConcurrency),
		events:      make(chan dispatchEvent),
		waitCancels: make(map[itemKey]context.CancelFunc),
		stopped:     make(chan struct{}),
	}
}

// start starts the loop goroutine.
func (d *dispatcher) start() {
	d.group.Add(1)
	go d.runLoop()
}

// stop ends the loop and waits for the goroutines of the items in flight. The runs of
// their jobs must have ended before.
func (d *dispatcher) stop() {
	close(d.stopped)
	d.group.Wait()
}

func (d *dispatcher) add(run *jobRun)    { d.send(jobAdded{run.dispatch}) }
func (d *dispatcher) remove(run *jobRun) { d.send(jobRemoved{run.dispatch}) }

func (d *dispatcher) send(event dispatchEvent) {
	select {
	case d.events <- event:
	case <-d.stopped:
	}
}

func (d *dispatcher) runLoop() {
	defer d.group.Done()
	defer d.cancelWaits()
	for {
		select {
		case event := <-d.events:
			if ended, ok := event.(itemRunEnded); ok {
				delete(d.waitCancels, ended.key)
			}
			for _, action := range d.core.step(event) {
				d.execute(action)
			}
			d.metrics.itemsWaiting.Set(float64(d.core.waiting))
			d.metrics.itemsRunning.Set(float64(d.core.running))
		case <-d.stopped:
			return
		}
	}
}

func (d *dispatcher) cancelWaits() {
	for _, cancel := range d.waitCancels {
		cancel()
	}
}

func (d *dispatcher) execute(action dispatchAction) {
	switch typed := action.(type) {
	case startItem:
		run := typed.key.job.run
		waitContext, cancel := context.WithCancel(run.ctx)
		d.waitCancels[typed.key] = cancel
		item := &itemRun{
			dispatcher: d, job: run, key: typed.key, progress: typed.progress, waitContext: waitContext,
		}
		d.group.Add(1)
		go func() {
			defer d.group.Done()
			defer cancel()
			requeue := item.run()
			d.send(itemRunEnded{typed.key, requeue})
		}()
	case cancelWait:
		if cancel := d.waitCancels[typed.key]; cancel != nil {
			cancel()
		}
	}
}
