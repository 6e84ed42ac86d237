package job

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
)

// Submission is a batch job as a caller gives it.
type Submission struct {
	Tenant string
	// ClientKey names the job for its tenant: the same key and content give the same
	// job; other content is an *outcome.Error with ReasonConflict.
	ClientKey     string
	Service       string
	Priority      string
	Rank          int
	Operation     engine.Operation
	Deadline      time.Duration
	Retention     time.Duration
	NotRepeatable bool
	// Metadata is the caller's own, returned unchanged.
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
	// PhaseExpired: the retention is over; counts remain, results are gone.
	PhaseExpired Phase = "expired"
)

// Status tells how far a job is.
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
	// Failed counts indeterminate items too; at the end Completed + Failed = Total.
	Total     int
	Completed int
	Failed    int
	// AtRisk says that the job will not make its deadline at its present rate.
	AtRisk bool
}

// ItemResult is one completed item.
type ItemResult struct {
	Index    int             `json:"index"`
	CustomID string          `json:"custom_id"`
	Outcome  string          `json:"outcome"`
	Status   int             `json:"status"`
	Body     json.RawMessage `json:"body"`
}

// Service is the batch interface of any node; it finds the owner of a job's
// partition. Errors are *outcome.Error. It is safe for concurrent use.
type Service interface {
	// Submit returns once the job and all its items are durable.
	Submit(ctx context.Context, submission Submission) (Status, error)
	Status(ctx context.Context, tenant, id string) (Status, error)
	List(ctx context.Context, tenant string, after string, limit int) ([]Status, error)
	// Cancel returns once the cancel is durable; nothing new is dispatched after that.
	Cancel(ctx context.Context, tenant, id string) (Status, error)
	// Results streams the completed items' results from the given index, in item order.
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

// FileStore keeps uploaded files durably until they are deleted or expire. Errors
// are *outcome.Error. It is safe for concurrent use.
type FileStore interface {
	// Put returns once the whole content is durable.
	Put(ctx context.Context, tenant, name, purpose string, content io.Reader) (File, error)
	Get(ctx context.Context, tenant, id string) (File, error)
	// Read streams the content.
	Read(ctx context.Context, tenant, id string, to io.Writer) error
	Delete(ctx context.Context, tenant, id string) error
	List(ctx context.Context, tenant string, after string, limit int) ([]File, error)
}
