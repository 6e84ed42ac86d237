package job

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// fileRetention is how long a file is kept unless it is deleted earlier.
const fileRetention = 30 * 24 * time.Hour

// commitFile records a file whose chunks have been uploaded. A repeated request returns
// the existing file.
func (p *partition) commitFile(ctx context.Context, request *jobpb.CommitFileRequest) (*jobpb.FileStored, error) {
	requested := request.GetFile()
	var existing *jobpb.FileStored
	var upload uploadState
	err := p.query(ctx, func(state *partitionState) {
		existing = state.files[requested.GetId()]
		if found := state.uploads[requested.GetUploadId()]; found != nil {
			upload = uploadState{positions: slices.Clone(found.positions), bytes: found.bytes}
		}
	})
	if err != nil || existing != nil {
		return existing, err
	}
	if !upload.complete(int(request.GetChunks())) || upload.bytes != requested.GetBytes() {
		return nil, errUploadGone()
	}
	stored := proto.Clone(requested).(*jobpb.FileStored)
	now := time.Now()
	stored.CreatedAtMicros, stored.ExpiresAtMicros = micros(now), micros(now.Add(fileRetention))
	stored.ChunkPositions = upload.positions
	if err := p.propose(ctx, encodeRecord(kindFileStored, stored)); err != nil {
		return nil, err
	}
	return stored, nil
}

// getFile returns a file of the tenant. A FileStored message is immutable once it is in
// the state, so it is not copied.
func (p *partition) getFile(ctx context.Context, request *jobpb.FileRequest) (*jobpb.FileStored, error) {
	return p.findFile(ctx, request.GetTenant(), request.GetId())
}

func (p *partition) findFile(ctx context.Context, tenant, id string) (*jobpb.FileStored, error) {
	var found *jobpb.FileStored
	if err := p.verifiedQuery(ctx, func(state *partitionState) { found = state.files[id] }); err != nil {
		return nil, err
	}
	if found == nil || found.GetTenant() != tenant {
		return nil, errNotFound(id)
	}
	return found, nil
}

// readFile returns one chunk of a file.
func (p *partition) readFile(ctx context.Context, request *jobpb.ReadFileRequest) (*jobpb.ReadFileResponse, error) {
	file, err := p.findFile(ctx, request.GetTenant(), request.GetId())
	if err != nil {
		return nil, err
	}
	chunks := len(file.GetChunkPositions())
	response := &jobpb.ReadFileResponse{Chunks: uint32(chunks)}
	if int(request.GetChunk()) >= chunks {
		return response, nil
	}
	position := ledger.Position(file.GetChunkPositions()[request.GetChunk()])
	records, err := p.owned.Read(ctx, position, 1)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "file not read")
	}
	chunk, err := decodeAs[*jobpb.Chunk](records, position)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInternal, "file not read")
	}
	response.Data = chunk.GetData()
	return response, nil
}

// deleteFile records the deletion of a file. A job created from it has its own copy of the
// input.
func (p *partition) deleteFile(ctx context.Context, request *jobpb.FileRequest) (*jobpb.DeleteFileResponse, error) {
	if _, err := p.findFile(ctx, request.GetTenant(), request.GetId()); err != nil {
		return nil, err
	}
	if err := p.propose(ctx, encodeRecord(kindFileDeleted, &jobpb.FileDeleted{Id: request.GetId()})); err != nil {
		return nil, err
	}
	return &jobpb.DeleteFileResponse{}, nil
}

// listFiles returns a page of the tenant's files in this partition, ordered by id.
func (p *partition) listFiles(ctx context.Context, request *jobpb.ListRequest) (*jobpb.ListFilesResponse, error) {
	var files []*jobpb.FileStored
	err := p.verifiedQuery(ctx, func(state *partitionState) {
		for id, file := range state.files {
			if file.GetTenant() == request.GetTenant() && id > request.GetAfter() {
				files = append(files, file)
			}
		}
	})
	slices.SortFunc(files, func(a, b *jobpb.FileStored) int { return strings.Compare(a.GetId(), b.GetId()) })
	response := &jobpb.ListFilesResponse{}
	size := 0
	for _, file := range files[:min(len(files), int(request.GetLimit()))] {
		if size > listPageBytes {
			response.More = true
			break
		}
		listed := &jobpb.FileStored{
			Id: file.GetId(), Tenant: file.GetTenant(), Name: file.GetName(), Purpose: file.GetPurpose(),
			Bytes: file.GetBytes(), CreatedAtMicros: file.GetCreatedAtMicros(), ExpiresAtMicros: file.GetExpiresAtMicros(),
		}
		size += proto.Size(listed)
		response.Files = append(response.Files, listed)
	}
	return response, err
}
