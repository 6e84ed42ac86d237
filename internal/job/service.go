package job

import (
	"bytes"
	"context"
	"errors"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// defaultRetention applies to submissions without a retention.
	defaultRetention = 7 * 24 * time.Hour
	// listLimit bounds the entries that one list call returns.
	listLimit = 1000
)

// service implements Service by forwarding to the partition of the job.
type service struct {
	forwarder *forwarder
	configs   config.Source
}

// Submit implements Service.
func (s *service) Submit(ctx context.Context, submission Submission) (Status, error) {
	if err := checkSubmission(&submission); err != nil {
		return Status{}, err
	}
	partition := s.forwarder.locator.PartitionOf(jobKey(submission.Tenant, submission.ClientKey))
	id := jobID(partition, submission.Tenant, submission.ClientKey)
	scanner := newItemScanner(&submission, s.configs.Current())
	existing, err := forward(ctx, s.forwarder, methodJobStatus,
		&jobpb.JobRequest{Partition: uint32(partition), Tenant: submission.Tenant, Id: id})
	switch {
	case err == nil:
		return resubmitted(existing, scanner)
	case outcome.As(err).Reason != outcome.ReasonNotFound:
		failure := *outcome.As(err)
		failure.Outcome = outcome.NotRun
		return Status{}, &failure
	}
	upload := newUploader(ctx, s.forwarder, partition)
	if err := scanner.uploadTo(upload); err != nil {
		return Status{}, err
	}
	if scanner.items == 0 {
		return Status{}, outcome.New(outcome.NotRun, outcome.ReasonInvalid, "the job has no items")
	}
	accepted := newAccepted(&submission, id, scanner)
	accepted.UploadId = upload.id
	status, err := forward(ctx, s.forwarder, methodCommitJob, &jobpb.CommitJobRequest{
		Partition: uint32(partition), Job: accepted, Chunks: upload.chunks,
		DeadlineAfterMicros: submission.Deadline.Microseconds(),
	})
	if err != nil {
		return Status{}, err
	}
	return statusFromProto(status), nil
}

// resubmitted returns the existing job if the input is the same, else a conflict.
func resubmitted(existing *jobpb.JobStatus, scanner *itemScanner) (Status, error) {
	if err := scanner.digestOnly(); err != nil {
		return Status{}, err
	}
	if !bytes.Equal(existing.GetDigest(), scanner.digest.Sum(nil)) {
		return Status{}, errJobConflict()
	}
	return statusFromProto(existing), nil
}

func checkSubmission(submission *Submission) error {
	invalid := func(message string) error {
		return outcome.New(outcome.NotRun, outcome.ReasonInvalid, message)
	}
	switch {
	case submission.Tenant == "" || submission.Service == "":
		return invalid("tenant and service are needed")
	case submission.ClientKey == "":
		return invalid("a client key is needed")
	case submission.Operation != engine.OperationChat && submission.Operation != engine.OperationCompletion:
		return invalid("operation " + string(submission.Operation) + " is not known")
	case submission.Deadline < 0 || submission.Retention < 0:
		return invalid("deadline and retention are not negative")
	}
	if submission.Retention == 0 {
		submission.Retention = defaultRetention
	}
	texts := []string{submission.Tenant, submission.ClientKey, submission.Service, submission.Priority}
	for name, value := range submission.Metadata {
		texts = append(texts, name, value)
	}
	if !validUTF8(texts...) {
		return invalid("a text is not UTF-8")
	}
	return nil
}

func maxItems(configs *config.Snapshot, tenant string) int {
	if declared := configs.Tenants[tenant]; declared != nil && declared.MaxJobItems > 0 {
		return min(declared.MaxJobItems, maxJobItems)
	}
	return maxJobItems
}

func newAccepted(submission *Submission, id string, scanner *itemScanner) *jobpb.JobAccepted {
	return &jobpb.JobAccepted{
		Id: id, Tenant: submission.Tenant, ClientKey: submission.ClientKey, Service: submission.Service,
		Priority: submission.Priority, Rank: int32(submission.Rank), Operation: string(submission.Operation),
		RetentionMicros: submission.Retention.Microseconds(), NotRepeatable: submission.NotRepeatable,
		Metadata: submission.Metadata, Digest: scanner.digest.Sum(nil), Total: uint32(scanner.items),
	}
}

// jobRequest returns the request for a job by its id. The error for an invalid id is
// NotRun/not_found.
func (s *service) jobRequest(tenant, id string) (*jobpb.JobRequest, error) {
	partition, err := partitionOfID(jobPrefix, id, s.forwarder.locator.Partitions())
	if err != nil {
		return nil, err
	}
	return &jobpb.JobRequest{Partition: uint32(partition), Tenant: tenant, Id: id}, nil
}

// Status implements Service.
func (s *service) Status(ctx context.Context, tenant, id string) (Status, error) {
	return s.forwardJob(ctx, methodJobStatus, tenant, id)
}

// Cancel implements Service.
func (s *service) Cancel(ctx context.Context, tenant, id string) (Status, error) {
	return s.forwardJob(ctx, methodCancelJob, tenant, id)
}

func (s *service) forwardJob(
	ctx context.Context, m method[*jobpb.JobRequest, *jobpb.JobStatus], tenant, id string,
) (Status, error) {
	request, err := s.jobRequest(tenant, id)
	if err != nil {
		return Status{}, err
	}
	status, err := forward(ctx, s.forwarder, m, request)
	if err != nil {
		return Status{}, err
	}
	return statusFromProto(status), nil
}

// List implements Service. Jobs are ordered by id, and therefore by partition.
func (s *service) List(ctx context.Context, tenant, after string, limit int) ([]Status, error) {
	jobs := []Status{}
	err := s.forwarder.list(jobPrefix, tenant, after, limit, func(request *jobpb.ListRequest) (listPage, error) {
		response, err := forward(ctx, s.forwarder, methodListJobs, request)
		page := listPage{more: response.GetMore()}
		for _, status := range response.GetJobs() {
			jobs = append(jobs, statusFromProto(status))
			page.count, page.last = page.count+1, status.GetId()
		}
		return page, err
	})
	return jobs, err
}

// listPage describes a page of a list.
type listPage struct {
	count int
	// last is the id of the last entry; more reports whether the partition has further ones.
	last string
	more bool
}

// list fetches pages partition by partition, starting after the id after, until it has
// limit entries.
func (f *forwarder) list(prefix, tenant, after string, limit int, fetchPage func(*jobpb.ListRequest) (listPage, error)) error {
	partition := uint32(0)
	if after != "" {
		first, err := partitionOfID(prefix, after, f.locator.Partitions())
		if err != nil {
			return err
		}
		partition = uint32(first)
	}
	if limit <= 0 || limit > listLimit {
		limit = listLimit
	}
	for partition < uint32(f.locator.Partitions()) && limit > 0 {
		page, err := fetchPage(&jobpb.ListRequest{Partition: partition, Tenant: tenant, After: after, Limit: uint32(limit)})
		if err != nil {
			return err
		}
		limit -= page.count
		if page.more {
			after = page.last
		} else {
			partition++
		}
	}
	return nil
}

// Results implements Service.
func (s *service) Results(ctx context.Context, tenant, id string, from int, yield func(ItemResult) error) error {
	job, err := s.jobRequest(tenant, id)
	if err != nil {
		return err
	}
	if from < 0 {
		return outcome.New(outcome.NotRun, outcome.ReasonInvalid, "from is negative")
	}
	request := &jobpb.ResultsRequest{Partition: job.GetPartition(), Tenant: tenant, Id: id, From: uint32(from)}
	for {
		page, err := forward(ctx, s.forwarder, methodReadResults, request)
		if err != nil {
			return err
		}
		for _, result := range page.GetResults() {
			if err := yield(resultFromProto(result)); err != nil {
				return err
			}
		}
		if page.GetNext() >= page.GetTotal() {
			return nil
		}
		if page.GetNext() == request.GetFrom() {
			return outcome.Wrap(errors.New("empty page"), outcome.NotRun, outcome.ReasonInternal, "results not read")
		}
		request.From = page.GetNext()
	}
}

func resultFromProto(result *jobpb.ItemResult) ItemResult {
	return ItemResult{
		Index: int(result.GetIndex()), CustomID: result.GetCustomId(), Outcome: result.GetOutcome(),
		Status: int(result.GetStatus()), Body: result.GetBody(),
	}
}

func statusFromProto(status *jobpb.JobStatus) Status {
	return Status{
		ID: status.GetId(), Tenant: status.GetTenant(), ClientKey: status.GetClientKey(), Service: status.GetService(),
		Priority: status.GetPriority(), Operation: engine.Operation(status.GetOperation()), Phase: Phase(status.GetPhase()),
		Metadata: status.GetMetadata(), AcceptedAt: fromMicros(status.GetAcceptedAtMicros()),
		Deadline: fromMicros(status.GetDeadlineMicros()), EndedAt: fromMicros(status.GetEndedAtMicros()),
		Total: int(status.GetTotal()), Completed: int(status.GetCompleted()), Failed: int(status.GetFailed()),
		AtRisk: status.GetAtRisk(),
	}
}
