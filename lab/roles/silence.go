package roles

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	labplatform "github.com/sloelift/sloelift/lab/platform"
)

const (
	// changeBound is the platform's bound from the acknowledgement of a configuration until every edge applies it.
	changeBound = 2 * time.Second
	// contactTime is how long an edge must have run undisturbed for the bound to hold.
	contactTime = 3 * time.Second
	// maxSeriesChanges is the maximum number of configurations that are written one after the other at the end of a silence.
	maxSeriesChanges = 4
	// gapAfterSilence is the maximum time from the end of a silence to the first of them.
	gapAfterSilence = 600 * time.Millisecond
)

// changeAfterSilence makes the store silent, in half of the cases after it has dropped its history, and writes configurations at the end of
// the silence. It returns an error if an edge that ran undisturbed refuses the route of the last one after changeBound.
func (f *injector) changeAfterSilence(ctx context.Context, drawn fault) error {
	f.silence.Lock()
	defer f.silence.Unlock()
	random := drawn.Target
	if random%2 == 0 {
		f.fleet.platform.Compact(math.MaxInt64)
		pause.Sleep(ctx, time.Duration(random%1000)*time.Millisecond)
	}
	f.fleet.silenceStore(ctx, drawn.Duration)
	pause.Sleep(ctx, time.Duration(drawn.Strength*float64(gapAfterSilence)))
	var acknowledged time.Time
	for range 1 + random%maxSeriesChanges {
		pause.Sleep(ctx, configurationInterval)
		if err := f.fleet.changeConfiguration(ctx); err != nil && ctx.Err() == nil {
			return fmt.Errorf("the store answers again and refuses a configuration: %w", err)
		}
		acknowledged = time.Now()
	}
	if !pause.Sleep(ctx, time.Until(acknowledged.Add(changeBound))) {
		return nil
	}
	return f.fleet.checkInForce(ctx, acknowledged)
}

// silenceStore makes the store silent for duration. The machines' calls that begin meanwhile are never answered; those of the replicas and
// the operator, which have no timeouts, end with the silence.
func (f *fleet) silenceStore(ctx context.Context, duration time.Duration) {
	faults := f.platform.Faults()
	faults.Set(labplatform.Fault{Service: labplatform.KeyValue, Outage: labplatform.OutageHangs})
	for _, machine := range f.machines {
		faults.Set(labplatform.Fault{Zone: machine.name, Service: labplatform.KeyValue, Outage: labplatform.OutageLoses})
	}
	pause.Sleep(ctx, duration)
	faults.Clear(labplatform.AnyZone, labplatform.KeyValue)
	for _, machine := range f.machines {
		faults.Clear(machine.name, labplatform.KeyValue)
	}
}

// checkInForce returns an error that names the edges which refuse the route of the newest configuration, acknowledged at acknowledged, as
// not configured. Edges that did not run throughout are not asked.
func (f *fleet) checkInForce(ctx context.Context, acknowledged time.Time) error {
	f.mutex.Lock()
	version := f.version
	f.mutex.Unlock()
	var late []error
	for _, edge := range f.machinesOf(classEdge) {
		if !edge.ranThroughout(acknowledged.Add(-contactTime), time.Now()) {
			continue
		}
		asked := time.Now()
		target := "http://" + edge.address(portCallers).String() + idlePath(version) + "1"
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return err
		}
		request.Host = hostOnline
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			// A connection that breaks off says nothing about the configuration.
			continue
		}
		_ = response.Body.Close()
		f.edgesAsked.Add(1)
		if response.StatusCode == http.StatusNotFound {
			late = append(late, fmt.Errorf("%s refuses the route of version %d %s after its acknowledgement",
				edge.name, version, asked.Sub(acknowledged).Round(time.Millisecond)))
		}
	}
	return errors.Join(late...)
}
