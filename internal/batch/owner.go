package batch

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// defaultReadBytes bounds the size of the texts in one answer, in bytes.
	defaultReadBytes = 512 << 10
	// retryAfterFull is the retry time sent to a caller whose job was refused for lack of room or quota.
	retryAfterFull = 500 * time.Millisecond
)

// pendingSubmission is a submission that is being appended; done is closed when the append has ended.
type pendingSubmission struct {
	done chan struct{}
	err  error
}

// submit accepts a job exactly once, however often it is submitted.
func (p *partition) submit(ctx context.Context, request *batchpb.SubmitRequest) (*batchpb.SubmitResponse, error) {
	submission := request.Submission
	pending, response, err := p.admit(request)
	if response != nil || err != nil {
		return response, err
	}
	if pending == nil {
		pending = p.startAppend(submission)
	}
	select {
	case <-pending.done:
	case <-ctx.Done():
		return nil, outcome.Wrap(ctx.Err(), outcome.Indeterminate, outcome.ReasonDeadline, "job was not accepted in time")
	}
	if pending.err != nil {
		return nil, pending.err
	}
	return &batchpb.SubmitResponse{Accepted: true}, nil
}

// admit decides on a submission. If it returns neither a response nor an error, the job must be appended, and its tokens are
// reserved; pending is set if an append is already in progress.
func (p *partition) admit(request *batchpb.SubmitRequest) (pending *pendingSubmission, response *batchpb.SubmitResponse, err error) {
	submission, maxTokens := request.Submission, request.MaxWaitingTokens
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.state.jobs[submission.JobId] != nil {
		return nil, &batchpb.SubmitResponse{Accepted: true}, nil
	}
	if pending := p.submitting[submission.JobId]; pending != nil {
		return pending, nil, nil
	}
	if p.quiesced {
		return nil, nil, errNotOwner()
	}
	if response, err := p.checkPlacements(request); response != nil || err != nil {
		return nil, response, err
	}
	if err := p.checkSubmissionHomes(submission); err != nil {
		return nil, nil, err
	}
	if !p.owned.HasRoom() {
		return nil, nil, outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "the stores' disks are full").After(retryAfterFull)
	}
	if p.state.bytes > p.service.options.MaxBytes {
		return nil, nil, outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "too much is kept").After(retryAfterFull)
	}
	tokens := tokensOf(submission)
	quota := quotaOf(submission)
	waiting := p.state.waitingTokens[quota] + p.reserved[quota]
	if maxTokens > 0 && waiting+tokens > maxTokens {
		p.logger.Info().Str(logging.FieldJob, submission.JobId).Str(logging.FieldTenant, submission.Tenant).
			Int64("waiting_tokens", waiting).Int64("tokens", tokens).Int64("allowed", maxTokens).Msg("job_over_quota")
		return nil, &batchpb.SubmitResponse{OverQuota: true}, nil
	}
	if err := p.checkBacklog(submission); err != nil {
		p.logger.Info().Str(logging.FieldJob, submission.JobId).Int("items", len(submission.Items)).Err(err).Msg("job_refused")
		return nil, nil, err
	}
	p.reserved[quota] += tokens
	p.submitting[submission.JobId] = &pendingSubmission{done: make(chan struct{})}
	return nil, nil, nil
}

// startAppend starts the append of an admitted submission. The append continues if the caller stops waiting.
func (p *partition) startAppend(submission *batchpb.Submission) *pendingSubmission {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pending := p.submitting[submission.JobId]
	if p.stopped {
		// Adding work after Stop has begun to wait for all work would panic and end the process.
		pending.err = errNotOwner()
		close(pending.done)
		return pending
	}
	began := clock.Now()
	p.background.Go(func() {
		err := p.propose(p.ctx, acceptanceRecords(submission, p.now().UnixMilli())...)
		p.mutex.Lock()
		p.reserved[quotaOf(submission)] -= tokensOf(submission)
		delete(p.submitting, submission.JobId)
		p.mutex.Unlock()
		p.logger.Info().Str(logging.FieldJob, submission.JobId).Int("items", len(submission.Items)).
			Dur("took", clock.Since(began)).Err(err).Msg("job_accepted")
		pending.err = err
		close(pending.done)
	})
	return pending
}

func tokensOf(submission *batchpb.Submission) int64 {
	var tokens int64
	for _, item := range submission.Items {
		tokens += item.Tokens
	}
	return tokens
}

// acceptanceRecords returns the records that make a job exist: a single one, or for a large job its chunks followed by the
// acceptance.
func acceptanceRecords(submission *batchpb.Submission, acceptedAt int64) []ledger.Record {
	if proto.Size(submission) <= chunkBytes {
		return []ledger.Record{newRecord(ledger.KindBatchAccepted, &batchpb.Accepted{Submission: submission, AcceptedAt: acceptedAt})}
	}
	encoded, err := proto.Marshal(submission)
	if err != nil {
		panic("encode submission: " + err.Error())
	}
	upload := ulid.Make().String()
	var records []ledger.Record
	for len(encoded) > 0 {
		part := encoded[:min(chunkBytes, len(encoded))]
		encoded = encoded[len(part):]
		records = append(records, newRecord(ledger.KindBatchChunk, &batchpb.Chunk{UploadId: upload, Data: part}))
	}
	return append(records, newRecord(ledger.KindBatchAccepted, &batchpb.Accepted{UploadId: upload, AcceptedAt: acceptedAt}))
}

// read returns the results after a position. An answer without results, or that the job is unknown, is given only after the
// ownership was proved, since a former owner may lack records of its successor.
func (p *partition) read(ctx context.Context, request *batchpb.ReadRequest) (*batchpb.ReadResponse, error) {
	since := p.elapsed()
	response, changed := p.results(request)
	if len(response.Results) > 0 {
		return response, nil
	}
	if changed != nil && request.WaitMicros > 0 {
		timer := time.NewTimer(time.Duration(request.WaitMicros) * time.Microsecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-p.ctx.Done():
		case <-ctx.Done():
		}
		if response, _ = p.results(request); len(response.Results) > 0 {
			return response, nil
		}
	}
	if err := p.confirm(ctx, since); err != nil {
		return nil, err
	}
	response, _ = p.results(request)
	if !response.Found {
		response.Placements = p.placementsOf(request.Host, nil)
	}
	return response, nil
}

// results returns the listed results; changed is set if more may follow.
func (p *partition) results(request *batchpb.ReadRequest) (response *batchpb.ReadResponse, changed <-chan struct{}) {
	limit := int(request.MaxBytes)
	if limit <= 0 {
		limit = defaultReadBytes
	}
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	job := p.state.jobs[request.JobId]
	if job == nil {
		return &batchpb.ReadResponse{}, nil
	}
	response = &batchpb.ReadResponse{Found: true, Total: uint32(len(job.items))}
	bytes := 0
	for position := int(request.Since); position < len(job.listed) && (bytes < limit || len(response.Results) == 0); position++ {
		number := job.listed[position]
		item := &job.items[number]
		bytes += len(item.text)
		if bytes > limit && len(response.Results) > 0 {
			break
		}
		response.Results = append(response.Results, &batchpb.ListedResult{
			ItemId: job.submission.Items[number].Id, State: item.state, Text: item.text,
		})
	}
	if job.open() {
		changed = job.changed
	}
	return response, changed
}

// body returns the body of an item that is not listed yet.
func (p *partition) body(ctx context.Context, request *batchpb.BodyRequest) (*batchpb.BodyResponse, error) {
	since := p.elapsed()
	if response := p.findBody(request); response.Found {
		return response, nil
	}
	if err := p.confirm(ctx, since); err != nil {
		return nil, err
	}
	response := p.findBody(request)
	if !response.Found {
		response.Placements = p.placementsOf(request.Host, nil)
	}
	return response, nil
}

func (p *partition) findBody(request *batchpb.BodyRequest) *batchpb.BodyResponse {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	job := p.state.jobs[request.JobId]
	if job == nil {
		return &batchpb.BodyResponse{}
	}
	number, known := job.byID[request.ItemId]
	if !known || job.items[number].listed {
		return &batchpb.BodyResponse{}
	}
	return &batchpb.BodyResponse{Found: true, Body: job.submission.Items[number].Body}
}

// end ends a job and cuts off its running items.
func (p *partition) end(ctx context.Context, request *batchpb.EndRequest) (*batchpb.EndResponse, error) {
	p.mutex.RLock()
	job := p.state.jobs[request.JobId]
	ended := job != nil && job.ended
	p.mutex.RUnlock()
	if job == nil {
		if err := p.confirm(ctx, p.elapsed()); err != nil {
			return nil, err
		}
		return &batchpb.EndResponse{Placements: p.placementsOf(request.Host, nil)}, nil
	}
	if !ended {
		if err := p.propose(ctx, newRecord(ledger.KindBatchEnded, &batchpb.Ended{JobId: request.JobId})); err != nil {
			return nil, err
		}
		p.logger.Info().Str(logging.FieldJob, request.JobId).Msg("job_ended")
	}
	// An earlier request may have ended the job after its own deadline, and then cut off nothing.
	p.cancelRuns(request.JobId)
	return &batchpb.EndResponse{Found: true}, nil
}
