package job

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// resultPageBytes bounds the results in one response, unless the first alone is larger;
	// resultPageItems bounds the items that are examined for it.
	resultPageBytes = 1 << 20
	resultPageItems = 4096
	// listPageBytes is the size after which a list page takes no further entry.
	listPageBytes = 1 << 20
	// drainTimeout bounds how long the response to a cancel waits for engine calls that
	// began before it.
	drainTimeout = 5 * time.Second
)

// appendChunk records a chunk of an upload, unless it is recorded already.
func (p *partition) appendChunk(ctx context.Context, request *jobpb.AppendChunkRequest) (*jobpb.AppendChunkResponse, error) {
	chunk := request.GetChunk()
	if chunk.GetSequence() >= maxChunks {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonTooLarge, "the upload has too many chunks")
	}
	recorded := false
	err := p.query(ctx, func(state *partitionState) {
		upload := state.uploads[chunk.GetUploadId()]
		recorded = upload != nil && upload.has(int(chunk.GetSequence()))
	})
	if err != nil || recorded {
		return &jobpb.AppendChunkResponse{}, err
	}
	chunk.RecordedAtMicros = micros(time.Now())
	if err := p.propose(ctx, encodeRecord(kindChunk, chunk)); err != nil {
		return nil, err
	}
	return &jobpb.AppendChunkResponse{}, nil
}

// reasonUploadGone means that the commit of an upload found its chunks missing: they are
// dropped after uploadTimeout.
const reasonUploadGone outcome.Reason = "upload_gone"

func errUploadGone() *outcome.Error {
	return outcome.New(outcome.NotRun, reasonUploadGone, "the upload was given up; send it again")
}

// commitJob accepts a job whose chunks have been uploaded. If the job exists, the same
// content returns it and different content is a conflict.
func (p *partition) commitJob(ctx context.Context, request *jobpb.CommitJobRequest) (*jobpb.JobStatus, error) {
	requested := request.GetJob()
	var existing *jobpb.JobStatus
	var upload uploadState
	err := p.query(ctx, func(state *partitionState) {
		existing = p.statusOf(state, requested.GetId())
		if found := state.uploads[requested.GetUploadId()]; found != nil {
			upload = uploadState{positions: slices.Clone(found.positions), items: slices.Clone(found.items)}
		}
	})
	if err != nil {
		return nil, err
	}
	if existing != nil {
		return checkSameContent(existing, requested)
	}
	accepted := proto.Clone(requested).(*jobpb.JobAccepted)
	if err := fillAccepted(accepted, request, upload); err != nil {
		return nil, err
	}
	if err := p.propose(ctx, encodeRecord(ledger.KindJobAccepted, accepted)); err != nil {
		return nil, err
	}
	existing, err = p.statusAfterAppend(ctx, requested.GetTenant(), requested.GetId())
	if err != nil {
		return nil, err
	}
	return checkSameContent(existing, requested)
}

// fillAccepted checks that the upload is complete and sets the fields that the owner
// determines.
func fillAccepted(accepted *jobpb.JobAccepted, request *jobpb.CommitJobRequest, upload uploadState) error {
	items := uint32(0)
	for _, count := range upload.items {
		items += count
	}
	if !upload.complete(int(request.GetChunks())) || items != accepted.GetTotal() {
		return errUploadGone()
	}
	now := time.Now()
	accepted.AcceptedAtMicros = micros(now)
	if deadlineAfter := request.GetDeadlineAfterMicros(); deadlineAfter > 0 {
		accepted.DeadlineMicros = micros(now) + deadlineAfter
	}
	accepted.ChunkPositions, accepted.ChunkItems = upload.positions, upload.items
	return nil
}

// checkSameContent returns the existing job if its content is the requested one, else a
// conflict.
func checkSameContent(existing *jobpb.JobStatus, requested *jobpb.JobAccepted) (*jobpb.JobStatus, error) {
	if !bytes.Equal(existing.GetDigest(), requested.GetDigest()) {
		return nil, errJobConflict()
	}
	return existing, nil
}

func errJobConflict() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.ReasonConflict, "the key names a job of other content")
}

// jobStatus serves a status request.
func (p *partition) jobStatus(ctx context.Context, request *jobpb.JobRequest) (*jobpb.JobStatus, error) {
	return p.status(ctx, request.GetTenant(), request.GetId())
}

// status returns the status of a job after verifying that this node is the owner.
func (p *partition) status(ctx context.Context, tenant, id string) (*jobpb.JobStatus, error) {
	if err := p.verifyOwnership(ctx); err != nil {
		return nil, err
	}
	return p.statusAfterAppend(ctx, tenant, id)
}

// statusAfterAppend is status without the ownership check, for a caller whose own append
// has just verified the ownership.
func (p *partition) statusAfterAppend(ctx context.Context, tenant, id string) (*jobpb.JobStatus, error) {
	var found *jobpb.JobStatus
	if err := p.query(ctx, func(state *partitionState) { found = p.statusOf(state, id) }); err != nil {
		return nil, err
	}
	if found == nil || found.GetTenant() != tenant {
		return nil, errNotFound(id)
	}
	return found, nil
}

// notFound verifies that this node is the owner and returns the not_found error for id.
func (p *partition) notFound(ctx context.Context, id string) error {
	if err := p.verifyOwnership(ctx); err != nil {
		return err
	}
	return errNotFound(id)
}

// statusOf returns the status of a job or its tombstone, nil if there is neither. It runs
// in the loop goroutine.
func (p *partition) statusOf(state *partitionState, id string) *jobpb.JobStatus {
	if tombstone := state.tombstones[id]; tombstone != nil {
		return tombstoneStatus(tombstone)
	}
	job := state.jobs[id]
	if job == nil {
		return nil
	}
	accepted := job.accepted
	status := &jobpb.JobStatus{
		Id: id, Tenant: accepted.GetTenant(), ClientKey: accepted.GetClientKey(), Service: accepted.GetService(),
		Priority: accepted.GetPriority(), Operation: accepted.GetOperation(), Phase: string(job.phase),
		Metadata: accepted.GetMetadata(), AcceptedAtMicros: accepted.GetAcceptedAtMicros(),
		DeadlineMicros: accepted.GetDeadlineMicros(), EndedAtMicros: micros(job.endedAt),
		Total: accepted.GetTotal(), Completed: uint32(job.completed), Failed: uint32(job.failed),
		Digest: accepted.GetDigest(),
	}
	if run := p.runs[id]; run != nil {
		status.AtRisk = run.atRisk
	}
	return status
}

func tombstoneStatus(t *jobpb.Tombstone) *jobpb.JobStatus {
	return &jobpb.JobStatus{
		Id: t.GetId(), Tenant: t.GetTenant(), ClientKey: t.GetClientKey(), Service: t.GetService(),
		Priority: t.GetPriority(), Operation: t.GetOperation(), Phase: string(PhaseExpired),
		AcceptedAtMicros: t.GetAcceptedAtMicros(), DeadlineMicros: t.GetDeadlineMicros(),
		EndedAtMicros: t.GetEndedAtMicros(),
		Total:         t.GetTotal(), Completed: t.GetCompleted(), Failed: t.GetFailed(), Digest: t.GetDigest(),
	}
}

// listJobs returns a page of the tenant's jobs in this partition, ordered by id.
func (p *partition) listJobs(ctx context.Context, request *jobpb.ListRequest) (*jobpb.ListJobsResponse, error) {
	response := &jobpb.ListJobsResponse{}
	err := p.verifiedQuery(ctx, func(state *partitionState) {
		var ids []string
		for id, job := range state.jobs {
			if job.accepted.GetTenant() == request.GetTenant() && id > request.GetAfter() {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		size := 0
		for _, id := range ids[:min(len(ids), int(request.GetLimit()))] {
			if size > listPageBytes {
				response.More = true
				return
			}
			status := p.statusOf(state, id)
			size += proto.Size(status)
			response.Jobs = append(response.Jobs, status)
		}
	})
	return response, err
}

// cancelJob records the cancel. When it returns without an error, no further engine call of
// the job begins, here or at a previous owner.
func (p *partition) cancelJob(ctx context.Context, request *jobpb.JobRequest) (*jobpb.JobStatus, error) {
	var run *jobRun
	if err := p.query(ctx, func(*partitionState) { run = p.runs[request.GetId()] }); err != nil {
		return nil, err
	}
	if _, err := p.status(ctx, request.GetTenant(), request.GetId()); err != nil {
		return nil, err
	}
	record := encodeRecord(ledger.KindJobCancelled, &jobpb.JobCancelled{
		JobId: request.GetId(), RecordedAtMicros: micros(time.Now()),
	})
	if err := p.propose(ctx, record); err != nil {
		return nil, err
	}
	if !pause.Sleep(ctx, p.lease.untilPredecessorExpires(clock.Now())) {
		return nil, contextError(ctx, outcome.Indeterminate)
	}
	if run != nil {
		drainContext, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		run.calls.wait(drainContext)
	}
	return p.statusAfterAppend(ctx, request.GetTenant(), request.GetId())
}

// readResults returns a page of results in item order.
func (p *partition) readResults(ctx context.Context, request *jobpb.ResultsRequest) (*jobpb.ResultsResponse, error) {
	response := &jobpb.ResultsResponse{Next: request.GetFrom()}
	var entries []itemEntry
	found, expired := false, false
	err := p.verifiedQuery(ctx, func(state *partitionState) {
		expired = state.tombstones[request.GetId()] != nil
		job := state.jobs[request.GetId()]
		if job == nil || job.accepted.GetTenant() != request.GetTenant() {
			return
		}
		found = true
		response.Total = uint32(len(job.entries))
		from := min(int(request.GetFrom()), len(job.entries))
		entries = slices.Clone(job.entries[from:min(from+resultPageItems, len(job.entries))])
	})
	switch {
	case err != nil:
		return nil, err
	case !found && expired:
		return nil, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "the job's retention is over")
	case !found:
		return nil, errNotFound(request.GetId())
	}
	return response, p.fillResults(ctx, response, entries)
}

func (p *partition) fillResults(ctx context.Context, response *jobpb.ResultsResponse, entries []itemEntry) error {
	window := &resultWindow{owned: p.owned}
	size := 0
	for index, entry := range entries {
		if entry.class() != classOpen {
			result, err := window.read(ctx, entries[index:])
			if err != nil {
				return outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "results not read")
			}
			size += len(result.GetBody()) + len(result.GetCustomId())
			if size > resultPageBytes && len(response.Results) > 0 {
				return nil
			}
			response.Results = append(response.Results, result)
		}
		response.Next++
	}
	return nil
}

// validUTF8 reports whether all values are valid UTF-8, as the strings of a record must be.
func validUTF8(values ...string) bool {
	for _, value := range values {
		if strings.ToValidUTF8(value, "") != value {
			return false
		}
	}
	return true
}
