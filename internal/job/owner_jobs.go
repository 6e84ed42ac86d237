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
	// resultPageBytes bounds one answer with results, and resultPageItems the items it looks at.
	resultPageBytes = 1 << 20
	resultPageItems = 4096
	// listPageBytes is the size from which a page of a list is cut.
	listPageBytes = 1 << 20
	// drainTimeout bounds how long the answer to a cancel waits for calls to engines
	// that had begun before it.
	drainTimeout = 5 * time.Second
)

// appendChunk records a part of an upload, once.
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

// reasonUploadGone: the chunks of an upload were dropped before it was committed.
const reasonUploadGone outcome.Reason = "upload_gone"

func errUploadGone() *outcome.Error {
	return outcome.New(outcome.NotRun, reasonUploadGone, "the upload was given up; send it again")
}

// commitJob accepts a job whose chunks are recorded. The same content again gives
// the same job, other content a conflict.
func (p *partition) commitJob(ctx context.Context, request *jobpb.CommitJobRequest) (*jobpb.JobStatus, error) {
	wanted := request.GetJob()
	var present *jobpb.JobStatus
	var upload uploadState
	err := p.query(ctx, func(state *partitionState) {
		present = p.statusOf(state, wanted.GetId())
		if found := state.uploads[wanted.GetUploadId()]; found != nil {
			upload = uploadState{positions: slices.Clone(found.positions), items: slices.Clone(found.items)}
		}
	})
	if err != nil {
		return nil, err
	}
	if present != nil {
		return sameContent(present, wanted)
	}
	accepted := proto.Clone(wanted).(*jobpb.JobAccepted)
	if err := fillAccepted(accepted, request, upload); err != nil {
		return nil, err
	}
	if err := p.propose(ctx, encodeRecord(ledger.KindJobAccepted, accepted)); err != nil {
		return nil, err
	}
	present, err = p.knownStatus(ctx, wanted.GetTenant(), wanted.GetId())
	if err != nil {
		return nil, err
	}
	return sameContent(present, wanted)
}

// fillAccepted sets what the owner knows, after it checked that the upload is whole.
func fillAccepted(accepted *jobpb.JobAccepted, request *jobpb.CommitJobRequest, upload uploadState) error {
	items := uint32(0)
	for _, count := range upload.items {
		items += count
	}
	if !upload.whole(int(request.GetChunks())) || items != accepted.GetTotal() {
		return errUploadGone()
	}
	now := time.Now()
	accepted.AcceptedAtMicros = micros(now)
	if after := request.GetDeadlineAfterMicros(); after > 0 {
		accepted.DeadlineMicros = micros(now) + after
	}
	accepted.ChunkPositions, accepted.ChunkItems = upload.positions, upload.items
	return nil
}

// sameContent returns the job that is there, if it is of the content asked for.
func sameContent(present *jobpb.JobStatus, wanted *jobpb.JobAccepted) (*jobpb.JobStatus, error) {
	if !bytes.Equal(present.GetDigest(), wanted.GetDigest()) {
		return nil, errJobConflict()
	}
	return present, nil
}

func errJobConflict() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.ReasonConflict, "the key names a job of other content")
}

// jobStatus serves a status request.
func (p *partition) jobStatus(ctx context.Context, request *jobpb.JobRequest) (*jobpb.JobStatus, error) {
	return p.status(ctx, request.GetTenant(), request.GetId())
}

// status returns the state of a job, as this node knows it while it is the owner.
func (p *partition) status(ctx context.Context, tenant, id string) (*jobpb.JobStatus, error) {
	if err := p.proveOwnership(ctx); err != nil {
		return nil, err
	}
	return p.knownStatus(ctx, tenant, id)
}

// knownStatus is status right after an append of the caller, which has proved the ownership.
func (p *partition) knownStatus(ctx context.Context, tenant, id string) (*jobpb.JobStatus, error) {
	var found *jobpb.JobStatus
	if err := p.query(ctx, func(state *partitionState) { found = p.statusOf(state, id) }); err != nil {
		return nil, err
	}
	if found == nil || found.GetTenant() != tenant {
		return nil, errNotFound(id)
	}
	return found, nil
}

// notFound makes sure by an append that this node is the owner, and returns the error.
func (p *partition) notFound(ctx context.Context, id string) error {
	if err := p.proveOwnership(ctx); err != nil {
		return err
	}
	return errNotFound(id)
}

// statusOf runs in the loop; nil where there is no such job.
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
		Total: accepted.GetTotal(), Completed: uint32(job.completed), Failed: uint32(job.failed), Digest: accepted.GetDigest(),
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
		AcceptedAtMicros: t.GetAcceptedAtMicros(), DeadlineMicros: t.GetDeadlineMicros(), EndedAtMicros: t.GetEndedAtMicros(),
		Total: t.GetTotal(), Completed: t.GetCompleted(), Failed: t.GetFailed(), Digest: t.GetDigest(),
	}
}

// listJobs returns the tenant's jobs of this partition, by id.
func (p *partition) listJobs(ctx context.Context, request *jobpb.ListRequest) (*jobpb.ListJobsResponse, error) {
	response := &jobpb.ListJobsResponse{}
	err := p.read(ctx, func(state *partitionState) {
		var ids []string
		for id, job := range state.jobs {
			if job.accepted.GetTenant() == request.GetTenant() && id > request.GetAfter() {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		bytes := 0
		for _, id := range ids[:min(len(ids), int(request.GetLimit()))] {
			if bytes > listPageBytes {
				response.More = true
				return
			}
			status := p.statusOf(state, id)
			bytes += proto.Size(status)
			response.Jobs = append(response.Jobs, status)
		}
	})
	return response, err
}

// cancelJob records the cancel. Its answer says that no call to an engine begins any more.
func (p *partition) cancelJob(ctx context.Context, request *jobpb.JobRequest) (*jobpb.JobStatus, error) {
	var run *jobRun
	if err := p.query(ctx, func(*partitionState) { run = p.runs[request.GetId()] }); err != nil {
		return nil, err
	}
	if _, err := p.status(ctx, request.GetTenant(), request.GetId()); err != nil {
		return nil, err
	}
	record := encodeRecord(ledger.KindJobCancelled, &jobpb.JobCancelled{JobId: request.GetId(), RecordedAtMicros: micros(time.Now())})
	if err := p.propose(ctx, record); err != nil {
		return nil, err
	}
	if !pause.Sleep(ctx, p.ownership.untilSettled(clock.Now())) {
		return nil, contextError(ctx, outcome.Indeterminate)
	}
	if run != nil {
		drainContext, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		run.calls.wait(drainContext)
	}
	return p.knownStatus(ctx, request.GetTenant(), request.GetId())
}

// readResults returns a page of completed items.
func (p *partition) readResults(ctx context.Context, request *jobpb.ResultsRequest) (*jobpb.ResultsResponse, error) {
	response := &jobpb.ResultsResponse{Next: request.GetFrom()}
	var entries []itemEntry
	found, expired := false, false
	err := p.read(ctx, func(state *partitionState) {
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
	bytes := 0
	for index, entry := range entries {
		if entry.class() != classOpen {
			result, err := window.read(ctx, entries[index:])
			if err != nil {
				return outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "results not read")
			}
			bytes += len(result.GetBody()) + len(result.GetCustomId())
			if bytes > resultPageBytes && len(response.Results) > 0 {
				return nil
			}
			response.Results = append(response.Results, result)
		}
		response.Next++
	}
	return nil
}

// validText tells whether all values can stand in a record.
func validText(values ...string) bool {
	for _, value := range values {
		if strings.ToValidUTF8(value, "") != value {
			return false
		}
	}
	return true
}
