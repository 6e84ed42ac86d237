package gateway

import (
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/job"
)

// Batch states of OpenAI's interface.
const (
	batchInProgress = "in_progress"
	batchCompleted  = "completed"
	batchCancelled  = "cancelled"
	batchExpired    = "expired"
)

// batchBody is OpenAI's batch object.
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
	// AtRisk is this system's own: the batch will not make its deadline at its present rate.
	AtRisk bool `json:"at_risk"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func batchBodyOf(status job.Status) batchBody {
	body := batchBody{
		ID:               status.ID,
		Object:           objectBatch,
		Endpoint:         string(status.Operation),
		InputFileID:      status.Metadata[metadataInput],
		CompletionWindow: status.Metadata[metadataWindow],
		Status:           batchInProgress,
		CreatedAt:        unixOf(status.AcceptedAt),
		InProgressAt:     unixOf(status.AcceptedAt),
		ExpiresAt:        unixOf(status.Deadline),
		RequestCounts:    requestCounts{Total: status.Total, Completed: status.Completed, Failed: status.Failed},
		Metadata:         callersMetadata(status.Metadata),
		AtRisk:           status.AtRisk,
	}
	ended := unixOf(status.EndedAt)
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

// unixOf is 0 for the zero time, as OpenAI's interface has it.
func unixOf(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.Unix()
}

func callersMetadata(kept map[string]string) map[string]string {
	shown := map[string]string{}
	for key, value := range kept {
		if !strings.HasPrefix(key, reservedMetadata) {
			shown[key] = value
		}
	}
	return shown
}
