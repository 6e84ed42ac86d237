package job

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
)

// Submission is a batch job as submitted by a caller.
type Submission struct {
	Tenant string
	// ClientKey identifies the job within its tenant. Submitting the same key and content
	// again returns the existing job; different content fails with an *outcome.Error with
	// ReasonConflict.
	ClientKey string
	Service   string
	Priority  string
	Rank      int
	Operation engine.Operation
	// Deadline counts from acceptance; 0 means none.
	Deadline time.Duration
	// Retention counts from the end of the job; 0 means 7 days.
	Retention time.Duration
	// NotRepeatable means that an item must not run on an engine more than once.
	NotRepeatable bool
	// Metadata is opaque and returned unchanged.
	Metadata map[string]string
	// Items streams the JSONL input; it is read once.
	Items io.Reader
}

// Phase is the state of a job.
type Phase string

// Phases of a job.
const (
	PhaseAccepted  Phase = "accepted"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseCancelled Phase = "cancelled"
	// PhaseExpired means that the retention has passed: the counts remain, the results are gone.
	PhaseExpired Phase = "expired"
)

// Status is the state and progress of a job.
type Status struct {
	ID         string
	Tenant     string
	ClientKey  string
	Service    string
	Priority   string
	Operation  engine.Operation
	Phase      Phase
	Metadata   map[string]string
	AcceptedAt time.Time
	Deadline   time.Time
	EndedAt    time.Time
	// Failed includes indeterminate items. For a completed job, Completed + Failed = Total.
	Total     int
	Completed int
	Failed    int
	// AtRisk reports whether the job would miss its deadline at its current rate.
	AtRisk bool
}

// ItemResult is the result of one item.
type ItemResult struct {
	Index    int             `json:"index"`
	CustomID string          `json:"custom_id"`
	Outcome  string          `json:"outcome"`
	Status   int             `json:"status"`
	Body     json.RawMessage `json:"body"`
}

// Service submits and manages batch jobs. It works on any node and forwards requests to
// the owner of the job's partition. Errors are *outcome.Error. It is safe for concurrent
// use.
type Service interface {
	// Submit returns once the job and all its items are durable.
	Submit(ctx context.Context, submission Submission) (Status, error)
	Status(ctx context.Context, tenant, id string) (Status, error)
	// List returns up to limit jobs of the tenant with ids greater than after, by id. A
	// limit of 0 means the maximum, 1000.
	List(ctx context.Context, tenant string, after string, limit int) ([]Status, error)
	// Cancel returns once the cancel is durable; no item of the job is dispatched after that.
	Cancel(ctx context.Context, tenant, id string) (Status, error)
	// Results passes the recorded results to yield, starting at item index from, in item
	// order. An error of yield ends it and is returned.
	Results(ctx context.Context, tenant, id string, from int, yield func(ItemResult) error) error
}

// File is an uploaded file.
type File struct {
	ID        string
	Tenant    string
	Name      string
	Purpose   string
	Bytes     int64
	CreatedAt time.Time
}

// FileStore stores uploaded files durably until they are deleted or expire. Errors are
// *outcome.Error. It is safe for concurrent use.
type FileStore interface {
	// Put returns once the whole content is durable.
	Put(ctx context.Context, tenant, name, purpose string, content io.Reader) (File, error)
	Get(ctx context.Context, tenant, id string) (File, error)
	// Read writes the content to the given writer.
	Read(ctx context.Context, tenant, id string, writer io.Writer) error
	Delete(ctx context.Context, tenant, id string) error
	// List returns up to limit files of the tenant with ids greater than after, by id. A
	// limit of 0 means the maximum, 1000.
	List(ctx context.Context, tenant string, after string, limit int) ([]File, error)
}
