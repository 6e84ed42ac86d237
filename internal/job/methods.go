package job

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/transport"
)

// partitionRequest is a request addressed to the owner of its partition.
type partitionRequest interface {
	proto.Message
	GetPartition() uint32
}

// method is an RPC to the owner of a partition, with its handler. Every method is
// idempotent: serving a request twice does no harm.
type method[Request partitionRequest, Response proto.Message] struct {
	name        transport.Method
	newRequest  func() Request
	newResponse func() Response
	serve       func(*partition, context.Context, Request) (Response, error)
}

// register registers the handler, which serves requests of other nodes on the registry's
// partitions.
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
		newMessage[jobpb.AppendChunkRequest], newMessage[jobpb.AppendChunkResponse], (*partition).appendChunk}
	methodCommitJob = method[*jobpb.CommitJobRequest, *jobpb.JobStatus]{"job.commit_job",
		newMessage[jobpb.CommitJobRequest], newMessage[jobpb.JobStatus], (*partition).commitJob}
	methodJobStatus = method[*jobpb.JobRequest, *jobpb.JobStatus]{"job.status",
		newMessage[jobpb.JobRequest], newMessage[jobpb.JobStatus], (*partition).jobStatus}
	methodListJobs = method[*jobpb.ListRequest, *jobpb.ListJobsResponse]{"job.list_jobs",
		newMessage[jobpb.ListRequest], newMessage[jobpb.ListJobsResponse], (*partition).listJobs}
	methodCancelJob = method[*jobpb.JobRequest, *jobpb.JobStatus]{"job.cancel",
		newMessage[jobpb.JobRequest], newMessage[jobpb.JobStatus], (*partition).cancelJob}
	methodReadResults = method[*jobpb.ResultsRequest, *jobpb.ResultsResponse]{"job.read_results",
		newMessage[jobpb.ResultsRequest], newMessage[jobpb.ResultsResponse], (*partition).readResults}
	methodCommitFile = method[*jobpb.CommitFileRequest, *jobpb.FileStored]{"job.commit_file",
		newMessage[jobpb.CommitFileRequest], newMessage[jobpb.FileStored], (*partition).commitFile}
	methodGetFile = method[*jobpb.FileRequest, *jobpb.FileStored]{"job.get_file",
		newMessage[jobpb.FileRequest], newMessage[jobpb.FileStored], (*partition).getFile}
	methodReadFile = method[*jobpb.ReadFileRequest, *jobpb.ReadFileResponse]{"job.read_file",
		newMessage[jobpb.ReadFileRequest], newMessage[jobpb.ReadFileResponse], (*partition).readFile}
	methodDeleteFile = method[*jobpb.FileRequest, *jobpb.DeleteFileResponse]{"job.delete_file",
		newMessage[jobpb.FileRequest], newMessage[jobpb.DeleteFileResponse], (*partition).deleteFile}
	methodListFiles = method[*jobpb.ListRequest, *jobpb.ListFilesResponse]{"job.list_files",
		newMessage[jobpb.ListRequest], newMessage[jobpb.ListFilesResponse], (*partition).listFiles}
	methodClaimKey = method[*jobpb.ClaimRequest, *jobpb.ClaimResponse]{"job.claim_key",
		newMessage[jobpb.ClaimRequest], newMessage[jobpb.ClaimResponse], (*partition).claimKey}
	methodCompleteKey = method[*jobpb.CompleteKeyRequest, *jobpb.ClaimResponse]{"job.complete_key",
		newMessage[jobpb.CompleteKeyRequest], newMessage[jobpb.ClaimResponse], (*partition).completeKey}
	methodAwaitKey = method[*jobpb.AwaitKeyRequest, *jobpb.ClaimResponse]{"job.await_key",
		newMessage[jobpb.AwaitKeyRequest], newMessage[jobpb.ClaimResponse], (*partition).awaitKey}
)

// newMessage returns an empty message.
func newMessage[Message any]() *Message { return new(Message) }

// registerMethods registers the handlers of all methods.
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
