package load

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// rereadTimeout is the timeout for reading all results a second time.
	rereadTimeout = 30 * time.Second
	// rereadConcurrency is the maximum number of concurrent rereads.
	rereadConcurrency = 16
)

// reread reads the results of every ended job again and requests every completed marked answer
// again, both through other nodes: what was acknowledged must still be there and be unchanged.
func (r *Runner) reread(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, rereadTimeout)
	defer cancel()
	places := make(chan struct{}, rereadConcurrency)
	var wait sync.WaitGroup
	start := func(check func()) {
		places <- struct{}{}
		wait.Go(func() {
			check()
			<-places
		})
	}
	for index := range r.jobs {
		if job := &r.jobs[index]; !job.EndedAt.IsZero() && job.Detail == "" {
			start(func() { r.rereadJob(bounded, index, job) })
		}
	}
	for index := range r.online {
		if result := &r.online[index]; result.Arrival.NotRepeatable && result.Outcome == OnlineCompleted {
			start(func() { r.rereadMarked(bounded, index, result) })
		}
	}
	wait.Wait()
}

func (r *Runner) rereadJob(ctx context.Context, index int, job *JobOutcome) {
	again := &JobOutcome{Arrival: job.Arrival, ID: job.ID, Results: map[string][]string{}, Errors: map[string]string{}}
	var status BatchStatus
	err := r.retry(ctx, index+2, func(ctx context.Context, node netip.AddrPort) (err error) {
		status, err = r.caller.Batch(ctx, node, job.ID)
		return err
	})
	if err != nil {
		job.RereadDetail = "status: " + err.Error()
		return
	}
	r.readResults(ctx, index+2, again, status)
	switch {
	case again.Detail != "":
		job.RereadDetail = again.Detail
	case status.Status != job.Status:
		job.RereadDetail = fmt.Sprintf("status was %q and is %q", job.Status, status.Status)
	case !maps.EqualFunc(job.Results, again.Results, slices.Equal):
		job.RereadDetail = fmt.Sprintf("%d results were read, %d the second time, not all the same", len(job.Results), len(again.Results))
	}
}

func (r *Runner) rereadMarked(ctx context.Context, index int, result *OnlineResult) {
	again := r.playOnline(ctx, index+2, result.Arrival)
	if again.Outcome != OnlineCompleted {
		result.RereadDetail = fmt.Sprintf("outcome %s: %s", again.Outcome, again.Detail)
	}
}
