package operator

import (
	"time"

	"github.com/sloelift/sloelift/internal/job"
)

// JobView is the status of a job, as returned by the admin interface.
type JobView struct {
	ID        string            `json:"id"`
	Tenant    string            `json:"tenant"`
	ClientKey string            `json:"client_key"`
	Service   string            `json:"service"`
	Priority  string            `json:"priority"`
	Operation string            `json:"operation"`
	Phase     job.Phase         `json:"phase"`
	Metadata  map[string]string `json:"metadata,omitempty"`
	// AcceptedAt, Deadline and EndedAt are in UTC. EndedAt is absent before the end.
	AcceptedAt time.Time  `json:"accepted_at"`
	Deadline   time.Time  `json:"deadline"`
	EndedAt    *time.Time `json:"ended_at,omitempty"`
	Total      int        `json:"total"`
	Completed  int        `json:"completed"`
	Failed     int        `json:"failed"`
	AtRisk     bool       `json:"at_risk"`
}

func newJobView(status job.Status) JobView {
	view := JobView{
		ID:         status.ID,
		Tenant:     status.Tenant,
		ClientKey:  status.ClientKey,
		Service:    status.Service,
		Priority:   status.Priority,
		Operation:  string(status.Operation),
		Phase:      status.Phase,
		Metadata:   status.Metadata,
		AcceptedAt: status.AcceptedAt.UTC(),
		Deadline:   status.Deadline.UTC(),
		Total:      status.Total,
		Completed:  status.Completed,
		Failed:     status.Failed,
		AtRisk:     status.AtRisk,
	}
	if !status.EndedAt.IsZero() {
		endedAt := status.EndedAt.UTC()
		view.EndedAt = &endedAt
	}
	return view
}
