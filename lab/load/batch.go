package load

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
)

const (
	pollInterval  = 250 * time.Millisecond
	batchCallTime = 10 * time.Second
	retryWait     = 200 * time.Millisecond
)

// runJob submits a job, cancels it if planned, follows it to its end and reads its
// results.
func (r *Runner) runJob(ctx context.Context, index int, arrival JobArrival) {
	job := &JobOutcome{Arrival: arrival, Results: map[string][]string{}, Errors: map[string]string{}}
	if r.submit(ctx, index, job) {
		r.followJob(ctx, index, job)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.jobs = append(r.jobs, *job)
}

// submit submits the job, if planned twice at the same time; both submissions must
// return the same id.
func (r *Runner) submit(ctx context.Context, index int, job *JobOutcome) bool {
	content, err := encodeItems(r.plan.Profile.Model, job.Arrival)
	if err != nil {
		job.Detail = err.Error()
		return false
	}
	var second string
	var resend sync.WaitGroup
	if job.Arrival.Resend {
		resend.Go(func() { second, _ = r.submitOnce(ctx, index+1, job.Arrival, content) })
	}
	id, err := r.submitOnce(ctx, index, job.Arrival, content)
	resend.Wait()
	if err != nil {
		job.Detail = "submit: " + err.Error()
		return false
	}
	job.ID, job.Accepted, job.AcceptedAt = id, true, time.Now()
	job.ResendMismatch = second != "" && second != id
	return true
}

// submitOnce uploads the input and creates the batch, and retries both after retryable failures.
func (r *Runner) submitOnce(ctx context.Context, index int, arrival JobArrival, content []byte) (string, error) {
	var status BatchStatus
	err := r.retry(ctx, index, func(ctx context.Context, node netip.AddrPort) error {
		fileID, err := r.caller.Upload(ctx, node, arrival.Key+".jsonl", content)
		if err != nil {
			return err
		}
		status, err = r.caller.CreateBatch(ctx, node, fileID, arrival)
		return err
	})
	return status.ID, err
}

// retry calls one node after the other until the call succeeds, fails with a definite error or ctx ends.
func (r *Runner) retry(ctx context.Context, index int, call func(context.Context, netip.AddrPort) error) error {
	var last error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		node, found := r.target(index, attempt)
		if found {
			bounded, cancel := context.WithTimeout(ctx, batchCallTime)
			last = call(bounded, node)
			cancel()
			if last == nil || definite(last) {
				return last
			}
		}
		if !pause.Sleep(ctx, retryWait) {
			break
		}
	}
	return errors.Join(last, ctx.Err())
}

// definite reports whether repeating the call would fail with the same status.
func definite(err error) bool {
	var status *StatusError
	if !errors.As(err, &status) {
		return false
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

func (r *Runner) followJob(ctx context.Context, index int, job *JobOutcome) {
	if job.Arrival.CancelAfter > 0 {
		if !pause.Sleep(ctx, job.Arrival.CancelAfter) {
			return
		}
		r.cancelJob(ctx, index, job)
	}
	var status BatchStatus
	for {
		err := r.retry(ctx, index, func(ctx context.Context, node netip.AddrPort) (err error) {
			status, err = r.caller.Batch(ctx, node, job.ID)
			return err
		})
		if err != nil {
			job.Detail = "status: " + err.Error()
			return
		}
		job.Status = status.Status
		if status.Ended() {
			break
		}
		if !pause.Sleep(ctx, pollInterval) {
			return
		}
	}
	job.EndedAt = time.Now()
	r.readResults(ctx, index, job, status)
}

func (r *Runner) cancelJob(ctx context.Context, index int, job *JobOutcome) {
	err := r.retry(ctx, index, func(ctx context.Context, node netip.AddrPort) error {
		_, err := r.caller.CancelBatch(ctx, node, job.ID)
		return err
	})
	if err != nil {
		job.Detail = "cancel: " + err.Error()
		return
	}
	job.Cancelled, job.CancelAcked = true, time.Now()
}

// readResults reads output and error files through a node other than the one that took the job.
func (r *Runner) readResults(ctx context.Context, index int, job *JobOutcome, status BatchStatus) {
	for _, fileID := range []string{status.OutputFileID, status.ErrorFileID} {
		if fileID == "" {
			continue
		}
		var lines []resultLine
		err := r.retry(ctx, index+1, func(ctx context.Context, node netip.AddrPort) error {
			lines = lines[:0]
			return r.caller.ResultLines(ctx, node, fileID, func(line resultLine) { lines = append(lines, line) })
		})
		if err != nil {
			job.Detail = "results: " + err.Error()
			return
		}
		for _, line := range lines {
			job.take(line)
		}
	}
}

func (j *JobOutcome) take(line resultLine) {
	if line.Response != nil && len(line.Response.Body.Choices) > 0 {
		text := line.Response.Body.Choices[0].Message.Content
		j.Results[line.CustomID] = append(j.Results[line.CustomID], text)
		return
	}
	j.Errors[line.CustomID] = string(line.Error)
}
