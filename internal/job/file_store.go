package job

import (
	"context"
	"errors"
	"io"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/outcome"
)

// fileStore implements FileStore by forwarding to the partition in the file id.
type fileStore struct {
	forwarder *forwarder
}

// Put implements FileStore.
func (s *fileStore) Put(ctx context.Context, tenant, name, purpose string, content io.Reader) (File, error) {
	if tenant == "" || !validUTF8(tenant, name, purpose) {
		return File{}, outcome.New(outcome.NotRun, outcome.ReasonInvalid, "tenant, name or purpose")
	}
	unique := newULID()
	partition := s.forwarder.locator.PartitionOf(unique.String())
	upload := newUploader(ctx, s.forwarder, partition)
	size, err := uploadContent(upload, content)
	if err != nil {
		return File{}, err
	}
	stored, err := forward(ctx, s.forwarder, methodCommitFile, &jobpb.CommitFileRequest{
		Partition: uint32(partition), Chunks: upload.chunks,
		File: &jobpb.FileStored{
			Id: newFileID(partition, unique), Tenant: tenant, Name: name, Purpose: purpose, Bytes: size, UploadId: upload.id,
		},
	})
	if err != nil {
		return File{}, err
	}
	return fileFromProto(stored), nil
}

// uploadContent uploads the whole content, waits until its chunks are durable and returns
// its size in bytes.
func uploadContent(upload *uploader, content io.Reader) (int64, error) {
	size := int64(0)
	for !upload.failed() {
		chunk := make([]byte, chunkBytes)
		count, err := io.ReadFull(content, chunk)
		if count > 0 {
			upload.send(chunk[:count], 0)
			size += int64(count)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			_ = upload.wait()
			return 0, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "content not read")
		}
	}
	return size, upload.wait()
}

func (s *fileStore) fileRequest(tenant, id string) (*jobpb.FileRequest, error) {
	partition, err := partitionOfID(filePrefix, id, s.forwarder.locator.Partitions())
	if err != nil {
		return nil, err
	}
	return &jobpb.FileRequest{Partition: uint32(partition), Tenant: tenant, Id: id}, nil
}

// Get implements FileStore.
func (s *fileStore) Get(ctx context.Context, tenant, id string) (File, error) {
	request, err := s.fileRequest(tenant, id)
	if err != nil {
		return File{}, err
	}
	stored, err := forward(ctx, s.forwarder, methodGetFile, request)
	if err != nil {
		return File{}, err
	}
	return fileFromProto(stored), nil
}

// Read implements FileStore.
func (s *fileStore) Read(ctx context.Context, tenant, id string, writer io.Writer) error {
	file, err := s.fileRequest(tenant, id)
	if err != nil {
		return err
	}
	request := &jobpb.ReadFileRequest{Partition: file.GetPartition(), Tenant: tenant, Id: id}
	for {
		response, err := forward(ctx, s.forwarder, methodReadFile, request)
		if err != nil {
			return err
		}
		if _, err := writer.Write(response.GetData()); err != nil {
			return err
		}
		request.Chunk++
		if request.Chunk >= response.GetChunks() {
			return nil
		}
	}
}

// Delete implements FileStore.
func (s *fileStore) Delete(ctx context.Context, tenant, id string) error {
	request, err := s.fileRequest(tenant, id)
	if err != nil {
		return err
	}
	_, err = forward(ctx, s.forwarder, methodDeleteFile, request)
	return err
}

// List implements FileStore. Files are ordered by id, and therefore by partition.
func (s *fileStore) List(ctx context.Context, tenant, after string, limit int) ([]File, error) {
	files := []File{}
	err := s.forwarder.list(filePrefix, tenant, after, limit, func(request *jobpb.ListRequest) (listPage, error) {
		response, err := forward(ctx, s.forwarder, methodListFiles, request)
		page := listPage{more: response.GetMore()}
		for _, stored := range response.GetFiles() {
			files = append(files, fileFromProto(stored))
			page.count, page.last = page.count+1, stored.GetId()
		}
		return page, err
	})
	return files, err
}

func fileFromProto(stored *jobpb.FileStored) File {
	return File{
		ID: stored.GetId(), Tenant: stored.GetTenant(), Name: stored.GetName(), Purpose: stored.GetPurpose(),
		Bytes: stored.GetBytes(), CreatedAt: fromMicros(stored.GetCreatedAtMicros()),
	}
}
