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
	// reservedMetadata begins the keys under which this slice keeps its own fields with a
	// job; callers never see them.
	reservedMetadata = "sloelift/"
	metadataInput    = reservedMetadata + "input_file_id"
	metadataWindow   = reservedMetadata + "completion_window"
	// metadataJob and metadataService are caller's metadata that the system reads.
	metadataJob      = "job"
	metadataService  = "service"
	metadataPriority = "priority"
)

// batchRequest is the body of a batch's creation.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (s *Server) createBatch(w http.ResponseWriter, r *http.Request, call call) error {
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
	writeJSON(w, http.StatusOK, batchBodyOf(status))
	return nil
}

// submit streams the input file into the job.
func (s *Server) submit(ctx context.Context, submission job.Submission, fileID string) (job.Status, error) {
	if _, err := s.files.Get(ctx, submission.Tenant, fileID); err != nil {
		return job.Status{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	items, to := io.Pipe()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		_ = to.CloseWithError(s.files.Read(ctx, submission.Tenant, fileID, to))
	}()
	submission.Items = items
	status, err := s.jobs.Submit(ctx, submission)
	_ = items.CloseWithError(io.ErrClosedPipe)
	<-finished
	return status, err
}

func (b *batchRequest) submission(r *http.Request, call call) (job.Submission, error) {
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
		Metadata:  b.keptMetadata(),
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

// template is the declared Job that metadata names; nil where it names none.
func (b *batchRequest) template(call call) (*config.Job, error) {
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

func (b *batchRequest) service(call call, template *config.Job) (*config.Service, error) {
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
	services := servicesOf(call.snapshot, call.tenant)
	if len(services) != 1 {
		return nil, invalid("metadata: service or job must say which of the tenant's services runs the batch")
	}
	return services[0], nil
}

func (b *batchRequest) priority(r *http.Request, call call, template *config.Job) (*config.Priority, error) {
	name := r.Header.Get(headerPriority)
	if name == "" {
		name = b.Metadata[metadataPriority]
	}
	if name == "" && template != nil {
		name = template.Priority
	}
	return priorityOf(call.snapshot, name, "", false)
}

// window is the time to the job's deadline: the declared job's, unless the request's is shorter.
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

// clientKey names the job. Without a key of the caller's it is made of the request's
// content, so that a request sent again after a lost answer is the same job.
func (b *batchRequest) clientKey(header string) string {
	if header != "" {
		return header
	}
	content, _ := json.Marshal(b)
	digest := sha256.Sum256(content)
	return "content-" + hex.EncodeToString(digest[:])
}

func (b *batchRequest) keptMetadata() map[string]string {
	kept := map[string]string{metadataInput: b.InputFileID, metadataWindow: b.CompletionWindow}
	for key, value := range b.Metadata {
		kept[key] = value
	}
	return kept
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request, call call) error {
	status, err := s.jobs.Status(r.Context(), call.tenant.Name, mux.Vars(r)["batch"])
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, batchBodyOf(status))
	return nil
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, call call) error {
	status, err := s.jobs.Cancel(r.Context(), call.tenant.Name, mux.Vars(r)["batch"])
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, batchBodyOf(status))
	return nil
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, call call) error {
	asked, err := pageOf(r)
	if err != nil {
		return err
	}
	statuses, err := s.jobs.List(r.Context(), call.tenant.Name, asked.after, asked.limit+1)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, makePage(statuses, asked, batchBodyOf, func(batch batchBody) string { return batch.ID }))
	return nil
}
