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

// fileRetention is how long a file is kept that nobody deletes.
const fileRetention = 30 * 24 * time.Hour

// commitFile stores a file whose chunks are recorded.
func (p *partition) commitFile(ctx context.Context, request *jobpb.CommitFileRequest) (*jobpb.FileStored, error) {
	wanted := request.GetFile()
	var present *jobpb.FileStored
	var upload uploadState
	err := p.query(ctx, func(state *partitionState) {
		present = state.files[wanted.GetId()]
		if found := state.uploads[wanted.GetUploadId()]; found != nil {
			upload = uploadState{positions: slices.Clone(found.positions), bytes: found.bytes}
		}
	})
	if err != nil || present != nil {
		return present, err
	}
	if !upload.whole(int(request.GetChunks())) || upload.bytes != wanted.GetBytes() {
		return nil, errUploadGone()
	}
	stored := proto.Clone(wanted).(*jobpb.FileStored)
	now := time.Now()
	stored.CreatedAtMicros, stored.ExpiresAtMicros = micros(now), micros(now.Add(fileRetention))
	stored.ChunkPositions = upload.positions
	if err := p.propose(ctx, encodeRecord(kindFileStored, stored)); err != nil {
		return nil, err
	}
	return stored, nil
}

// getFile returns a file of the tenant. FileStored messages don't change once in the state.
func (p *partition) getFile(ctx context.Context, request *jobpb.FileRequest) (*jobpb.FileStored, error) {
	return p.file(ctx, request.GetTenant(), request.GetId())
}

func (p *partition) file(ctx context.Context, tenant, id string) (*jobpb.FileStored, error) {
	var found *jobpb.FileStored
	if err := p.read(ctx, func(state *partitionState) { found = state.files[id] }); err != nil {
		return nil, err
	}
	if found == nil || found.GetTenant() != tenant {
		return nil, errNotFound(id)
	}
	return found, nil
}

// readFile returns one chunk of a file.
func (p *partition) readFile(ctx context.Context, request *jobpb.ReadFileRequest) (*jobpb.ReadFileResponse, error) {
	file, err := p.file(ctx, request.GetTenant(), request.GetId())
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

// deleteFile records the end of a file. A job made from it has its own copy.
func (p *partition) deleteFile(ctx context.Context, request *jobpb.FileRequest) (*jobpb.DeleteFileResponse, error) {
	if _, err := p.file(ctx, request.GetTenant(), request.GetId()); err != nil {
		return nil, err
	}
	if err := p.propose(ctx, encodeRecord(kindFileDeleted, &jobpb.FileDeleted{Id: request.GetId()})); err != nil {
		return nil, err
	}
	return &jobpb.DeleteFileResponse{}, nil
}

// listFiles returns the tenant's files of this partition, by id.
func (p *partition) listFiles(ctx context.Context, request *jobpb.ListRequest) (*jobpb.ListFilesResponse, error) {
	var files []*jobpb.FileStored
	err := p.read(ctx, func(state *partitionState) {
		for id, file := range state.files {
			if file.GetTenant() == request.GetTenant() && id > request.GetAfter() {
				files = append(files, file)
			}
		}
	})
	slices.SortFunc(files, func(a, b *jobpb.FileStored) int { return strings.Compare(a.GetId(), b.GetId()) })
	response := &jobpb.ListFilesResponse{}
	bytes := 0
	for _, file := range files[:min(len(files), int(request.GetLimit()))] {
		if bytes > listPageBytes {
			response.More = true
			break
		}
		listed := &jobpb.FileStored{
			Id: file.GetId(), Tenant: file.GetTenant(), Name: file.GetName(), Purpose: file.GetPurpose(),
			Bytes: file.GetBytes(), CreatedAtMicros: file.GetCreatedAtMicros(), ExpiresAtMicros: file.GetExpiresAtMicros(),
		}
		bytes += proto.Size(listed)
		response.Files = append(response.Files, listed)
	}
	return response, err
}
