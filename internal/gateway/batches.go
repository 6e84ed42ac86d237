package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/job"
)

const (
	objectBatch         = "batch"
	maxMetadataPairs    = 16
	maxMetadataKeyBytes = 64
	maxMetadataBytes    = 512
	maxCompletionWindow = 14 * 24 * time.Hour
	defaultRetention    = 7 * 24 * time.Hour
	// reservedMetadata is the prefix of the metadata keys in which the gateway stores its own fields
	// with a job. They are not shown to callers.
	reservedMetadata = "sloelift/"
	metadataInput    = reservedMetadata + "input_file_id"
	metadataWindow   = reservedMetadata + "completion_window"
	// metadataJob, metadataService and metadataPriority are keys of the caller's metadata that the
	// gateway reads.
	metadataJob      = "job"
	metadataService  = "service"
	metadataPriority = "priority"
)

// batchRequest is the request body that creates a batch.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (s *Server) createBatch(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	body, release, err := s.bodies.read(w, r)
	if err != nil {
		return err
	}
	defer release()
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return invalid(bodyMessage(err))
	}
	submission, err := request.submission(r, call)
	if err != nil {
		return err
	}
	status, err := s.submit(r.Context(), submission, request.InputFileID)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchBody(status))
	return nil
}

// submit submits a job and streams the input file to it as its items.
func (s *Server) submit(ctx context.Context, submission job.Submission, fileID string) (job.Status, error) {
	if _, err := s.files.Get(ctx, submission.Tenant, fileID); err != nil {
		return job.Status{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	items, writer := io.Pipe()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		_ = writer.CloseWithError(s.files.Read(ctx, submission.Tenant, fileID, writer))
	}()
	submission.Items = items
	status, err := s.jobs.Submit(ctx, submission)
	_ = items.CloseWithError(io.ErrClosedPipe)
	<-finished
	return status, err
}

func (b *batchRequest) submission(r *http.Request, call authenticatedCall) (job.Submission, error) {
	if err := b.check(); err != nil {
		return job.Submission{}, err
	}
	template, err := b.template(call)
	if err != nil {
		return job.Submission{}, err
	}
	service, err := b.service(call, template)
	if err != nil {
		return job.Submission{}, err
	}
	priority, err := b.priority(r, call, template)
	if err != nil {
		return job.Submission{}, err
	}
	window, err := b.window(template)
	if err != nil {
		return job.Submission{}, err
	}
	submission := job.Submission{
		Tenant:    call.tenant.Name,
		ClientKey: b.clientKey(r.Header.Get(headerIdempotencyKey)),
		Service:   service.Name,
		Priority:  priority.Name,
		Rank:      priority.Rank,
		Operation: engine.Operation(b.Endpoint),
		Deadline:  window,
		Retention: defaultRetention,
		Metadata:  b.storedMetadata(),
	}
	submission.NotRepeatable = r.Header.Get(headerNotRepeatable) == "true"
	if template != nil {
		submission.Retention = template.Retention
		submission.NotRepeatable = submission.NotRepeatable || template.NotRepeatable
	}
	return submission, nil
}

func (b *batchRequest) check() error {
	operation := engine.Operation(b.Endpoint)
	switch {
	case b.InputFileID == "":
		return invalid("input_file_id: is required")
	case operation != engine.OperationChat && operation != engine.OperationCompletion:
		return invalid("endpoint: must be /v1/chat/completions or /v1/completions")
	case len(b.Metadata) > maxMetadataPairs:
		return invalid(fmt.Sprintf("metadata: at most %d pairs", maxMetadataPairs))
	}
	for key, value := range b.Metadata {
		if len(key) > maxMetadataKeyBytes || len(value) > maxMetadataBytes || strings.HasPrefix(key, reservedMetadata) {
			return invalid(fmt.Sprintf("metadata: %.64q is too long or reserved", key))
		}
	}
	return nil
}

// template returns the declared Job named in the metadata, and nil if none is named.
func (b *batchRequest) template(call authenticatedCall) (*config.Job, error) {
	name := b.Metadata[metadataJob]
	if name == "" {
		return nil, nil
	}
	template := call.snapshot.Jobs[name]
	if template == nil || template.Tenant != call.tenant.Name {
		return nil, invalid(fmt.Sprintf("metadata: job %q is not declared for this tenant", name))
	}
	return template, nil
}

// service returns the service that runs the batch: the one named in the metadata, else the
// template's, else the tenant's only service.
func (b *batchRequest) service(call authenticatedCall, template *config.Job) (*config.Service, error) {
	name := b.Metadata[metadataService]
	if name == "" && template != nil {
		name = template.Service
	}
	if name != "" {
		if service := call.snapshot.Services[name]; service != nil && mayUse(call.tenant, name) {
			return service, nil
		}
		return nil, notFound(fmt.Sprintf("service %q is not there for this tenant", name))
	}
	services := tenantServices(call.snapshot, call.tenant)
	if len(services) != 1 {
		return nil, invalid("metadata: service or job must say which of the tenant's services runs the batch")
	}
	return services[0], nil
}

// priority returns the batch's priority: the one named in the header, else in the metadata, else
// the template's, else the default one.
func (b *batchRequest) priority(r *http.Request, call authenticatedCall, template *config.Job) (*config.Priority, error) {
	name := r.Header.Get(headerPriority)
	if name == "" {
		name = b.Metadata[metadataPriority]
	}
	if name == "" && template != nil {
		name = template.Priority
	}
	return resolvePriority(call.snapshot, name, "", false)
}

// window returns the time until the job's deadline: the request's completion window, or the
// declared job's deadline if that is shorter.
func (b *batchRequest) window(template *config.Job) (time.Duration, error) {
	window, err := time.ParseDuration(b.CompletionWindow)
	if err != nil || window <= 0 || window > maxCompletionWindow {
		return 0, invalid(`completion_window: must be a duration such as "24h", up to 336h`)
	}
	if template != nil {
		window = min(window, template.Deadline)
	}
	return window, nil
}

// clientKey returns the idempotency key of the job. Without a key from the caller it is a digest
// of the request's content, so that a request resent after a lost answer refers to the same job.
func (b *batchRequest) clientKey(header string) string {
	if header != "" {
		return header
	}
	content, _ := json.Marshal(b)
	digest := sha256.Sum256(content)
	return "content-" + hex.EncodeToString(digest[:])
}

func (b *batchRequest) storedMetadata() map[string]string {
	stored := map[string]string{metadataInput: b.InputFileID, metadataWindow: b.CompletionWindow}
	for key, value := range b.Metadata {
		stored[key] = value
	}
	return stored
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	status, err := s.jobs.Status(r.Context(), call.tenant.Name, mux.Vars(r)["batch"])
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchBody(status))
	return nil
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	status, err := s.jobs.Cancel(r.Context(), call.tenant.Name, mux.Vars(r)["batch"])
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchBody(status))
	return nil
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	requested, err := parsePage(r)
	if err != nil {
		return err
	}
	statuses, err := s.jobs.List(r.Context(), call.tenant.Name, requested.after, requested.limit+1)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newListBody(statuses, requested, newBatchBody, func(batch batchBody) string { return batch.ID }))
	return nil
}
