package gateway

import (
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/job"
)

// Batch states of the OpenAI API.
const (
	batchInProgress = "in_progress"
	batchCompleted  = "completed"
	batchCancelled  = "cancelled"
	batchExpired    = "expired"
)

// batchBody is the batch object of the OpenAI API.
type batchBody struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	ExpiredAt        int64             `json:"expired_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
	// AtRisk is an extension of the OpenAI API: the batch will miss its deadline at its current rate.
	AtRisk bool `json:"at_risk"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func newBatchBody(status job.Status) batchBody {
	body := batchBody{
		ID:               status.ID,
		Object:           objectBatch,
		Endpoint:         string(status.Operation),
		InputFileID:      status.Metadata[metadataInput],
		CompletionWindow: status.Metadata[metadataWindow],
		Status:           batchInProgress,
		CreatedAt:        unixSeconds(status.AcceptedAt),
		InProgressAt:     unixSeconds(status.AcceptedAt),
		ExpiresAt:        unixSeconds(status.Deadline),
		RequestCounts:    requestCounts{Total: status.Total, Completed: status.Completed, Failed: status.Failed},
		Metadata:         callerMetadata(status.Metadata),
		AtRisk:           status.AtRisk,
	}
	ended := unixSeconds(status.EndedAt)
	switch status.Phase {
	case job.PhaseCompleted:
		body.Status, body.CompletedAt = batchCompleted, ended
	case job.PhaseCancelled:
		body.Status, body.CancelledAt = batchCancelled, ended
	case job.PhaseExpired:
		body.Status, body.ExpiredAt = batchExpired, ended
	default:
		return body
	}
	if status.Completed > 0 {
		body.OutputFileID = outputID{job: status.ID}.String()
	}
	if status.Failed > 0 {
		body.ErrorFileID = outputID{job: status.ID, errors: true}.String()
	}
	return body
}

// unixSeconds returns Unix seconds, and 0 for the zero time as in the OpenAI API.
func unixSeconds(instant time.Time) int64 {
	if instant.IsZero() {
		return 0
	}
	return instant.Unix()
}

// callerMetadata returns a job's metadata without the reserved keys.
func callerMetadata(stored map[string]string) map[string]string {
	visible := map[string]string{}
	for key, value := range stored {
		if !strings.HasPrefix(key, reservedMetadata) {
			visible[key] = value
		}
	}
	return visible
}
