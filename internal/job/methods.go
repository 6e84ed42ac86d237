package job

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/transport"
)

// partitionRequest is a message that goes to the owner of its partition.
type partitionRequest interface {
	proto.Message
	GetPartition() uint32
}

// method is one message type between nodes and how the owner serves it. Every
// method can be served twice for one request without harm.
type method[Request partitionRequest, Response proto.Message] struct {
	name        transport.Method
	newRequest  func() Request
	newResponse func() Response
	serve       func(*partition, context.Context, Request) (Response, error)
}

// register makes the registry's partitions serve the method to other nodes.
func (m method[Request, Response]) register(registrar transport.Registrar, partitions *registry) {
	transport.Handle(registrar, m.name, m.newRequest,
		func(ctx context.Context, _ netip.AddrPort, request Request) (Response, error) {
			owned, err := partitions.find(request.GetPartition())
			if err != nil {
				var none Response
				return none, err
			}
			return m.serve(owned, ctx, request)
		})
}

var (
	methodAppendChunk = method[*jobpb.AppendChunkRequest, *jobpb.AppendChunkResponse]{"job.append_chunk",
		create[jobpb.AppendChunkRequest], create[jobpb.AppendChunkResponse], (*partition).appendChunk}
	methodCommitJob = method[*jobpb.CommitJobRequest, *jobpb.JobStatus]{"job.commit_job",
		create[jobpb.CommitJobRequest], create[jobpb.JobStatus], (*partition).commitJob}
	methodJobStatus = method[*jobpb.JobRequest, *jobpb.JobStatus]{"job.status",
		create[jobpb.JobRequest], create[jobpb.JobStatus], (*partition).jobStatus}
	methodListJobs = method[*jobpb.ListRequest, *jobpb.ListJobsResponse]{"job.list_jobs",
		create[jobpb.ListRequest], create[jobpb.ListJobsResponse], (*partition).listJobs}
	methodCancelJob = method[*jobpb.JobRequest, *jobpb.JobStatus]{"job.cancel",
		create[jobpb.JobRequest], create[jobpb.JobStatus], (*partition).cancelJob}
	methodReadResults = method[*jobpb.ResultsRequest, *jobpb.ResultsResponse]{"job.read_results",
		create[jobpb.ResultsRequest], create[jobpb.ResultsResponse], (*partition).readResults}
	methodCommitFile = method[*jobpb.CommitFileRequest, *jobpb.FileStored]{"job.commit_file",
		create[jobpb.CommitFileRequest], create[jobpb.FileStored], (*partition).commitFile}
	methodGetFile = method[*jobpb.FileRequest, *jobpb.FileStored]{"job.get_file",
		create[jobpb.FileRequest], create[jobpb.FileStored], (*partition).getFile}
	methodReadFile = method[*jobpb.ReadFileRequest, *jobpb.ReadFileResponse]{"job.read_file",
		create[jobpb.ReadFileRequest], create[jobpb.ReadFileResponse], (*partition).readFile}
	methodDeleteFile = method[*jobpb.FileRequest, *jobpb.DeleteFileResponse]{"job.delete_file",
		create[jobpb.FileRequest], create[jobpb.DeleteFileResponse], (*partition).deleteFile}
	methodListFiles = method[*jobpb.ListRequest, *jobpb.ListFilesResponse]{"job.list_files",
		create[jobpb.ListRequest], create[jobpb.ListFilesResponse], (*partition).listFiles}
	methodClaimKey = method[*jobpb.ClaimRequest, *jobpb.ClaimResponse]{"job.claim_key",
		create[jobpb.ClaimRequest], create[jobpb.ClaimResponse], (*partition).claimKey}
	methodCompleteKey = method[*jobpb.CompleteKeyRequest, *jobpb.ClaimResponse]{"job.complete_key",
		create[jobpb.CompleteKeyRequest], create[jobpb.ClaimResponse], (*partition).completeKey}
	methodAwaitKey = method[*jobpb.AwaitKeyRequest, *jobpb.ClaimResponse]{"job.await_key",
		create[jobpb.AwaitKeyRequest], create[jobpb.ClaimResponse], (*partition).awaitKey}
)

// create returns an empty message.
func create[Message any]() *Message { return new(Message) }

// registerMethods makes the partitions serve all methods.
func registerMethods(registrar transport.Registrar, partitions *registry) {
	methodAppendChunk.register(registrar, partitions)
	methodCommitJob.register(registrar, partitions)
	methodJobStatus.register(registrar, partitions)
	methodListJobs.register(registrar, partitions)
	methodCancelJob.register(registrar, partitions)
	methodReadResults.register(registrar, partitions)
	methodCommitFile.register(registrar, partitions)
	methodGetFile.register(registrar, partitions)
	methodReadFile.register(registrar, partitions)
	methodDeleteFile.register(registrar, partitions)
	methodListFiles.register(registrar, partitions)
	methodClaimKey.register(registrar, partitions)
	methodCompleteKey.register(registrar, partitions)
	methodAwaitKey.register(registrar, partitions)
}
