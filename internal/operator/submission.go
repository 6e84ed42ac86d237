package operator

import (
	"cmp"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/outcome"
)

// JobRequest is a job submitted by an operator. Template is the name of a Job
// declaration, which provides the values of zero fields.
type JobRequest struct {
	Template  string
	Tenant    string
	ClientKey string
	Service   string
	Priority  string
	// Operation is "chat" or "completions".
	Operation     string
	Deadline      time.Duration
	Retention     time.Duration
	NotRepeatable bool
}

const (
	queryTemplate      = "template"
	queryClientKey     = "client_key"
	queryService       = "service"
	queryPriority      = "priority"
	queryOperation     = "operation"
	queryDeadline      = "deadline"
	queryRetention     = "retention"
	queryNotRepeatable = "not_repeatable"
)

// Operations of a JobRequest.
const (
	OperationChat        = "chat"
	OperationCompletions = "completions"
)

// defaultRetention applies if neither the request nor its template sets a retention.
const defaultRetention = 30 * 24 * time.Hour

// query encodes the request as query parameters.
func (r JobRequest) query() url.Values {
	values := url.Values{}
	texts := map[string]string{
		queryTemplate: r.Template, queryTenant: r.Tenant, queryClientKey: r.ClientKey,
		queryService: r.Service, queryPriority: r.Priority, queryOperation: r.Operation,
	}
	for name, text := range texts {
		if text != "" {
			values.Set(name, text)
		}
	}
	if r.Deadline > 0 {
		values.Set(queryDeadline, r.Deadline.String())
	}
	if r.Retention > 0 {
		values.Set(queryRetention, r.Retention.String())
	}
	if r.NotRepeatable {
		values.Set(queryNotRepeatable, strconv.FormatBool(true))
	}
	return values
}

func parseJobRequest(values url.Values) (JobRequest, error) {
	request := JobRequest{
		Template: values.Get(queryTemplate), Tenant: values.Get(queryTenant), ClientKey: values.Get(queryClientKey),
		Service: values.Get(queryService), Priority: values.Get(queryPriority), Operation: values.Get(queryOperation),
	}
	var err error
	if request.Deadline, err = queryDuration(values, queryDeadline); err != nil {
		return request, err
	}
	if request.Retention, err = queryDuration(values, queryRetention); err != nil {
		return request, err
	}
	if text := values.Get(queryNotRepeatable); text != "" {
		if request.NotRepeatable, err = strconv.ParseBool(text); err != nil {
			return request, invalidQuery(queryNotRepeatable, "true or false", text)
		}
	}
	return request, nil
}

func queryDuration(values url.Values, name string) (time.Duration, error) {
	text := values.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		return 0, invalidQuery(name, "a duration with its unit, such as 8h", text)
	}
	return value, nil
}

// newSubmission parses a request, completes it from its template and checks the names
// in it against the configuration in force.
func newSubmission(values url.Values, snapshot *config.Snapshot) (job.Submission, error) {
	request, err := parseJobRequest(values)
	if err != nil {
		return job.Submission{}, err
	}
	if err := request.applyTemplate(snapshot); err != nil {
		return job.Submission{}, err
	}
	priority, err := request.checkNames(snapshot)
	if err != nil {
		return job.Submission{}, err
	}
	operation, err := parseOperation(request.Operation)
	if err != nil {
		return job.Submission{}, err
	}
	return job.Submission{
		Tenant: request.Tenant, ClientKey: request.ClientKey, Service: request.Service,
		Priority: request.Priority, Rank: priority.Rank, Operation: operation,
		Deadline: request.Deadline, Retention: request.Retention, NotRepeatable: request.NotRepeatable,
	}, nil
}

func (r *JobRequest) applyTemplate(snapshot *config.Snapshot) error {
	if r.Template != "" {
		template, present := snapshot.Jobs[r.Template]
		if !present {
			return outcome.New(outcome.NotRun, outcome.ReasonNotFound, "no Job is declared as "+r.Template)
		}
		r.Tenant = cmp.Or(r.Tenant, template.Tenant)
		r.Service = cmp.Or(r.Service, template.Service)
		r.Priority = cmp.Or(r.Priority, template.Priority)
		r.Deadline = cmp.Or(r.Deadline, template.Deadline)
		r.Retention = cmp.Or(r.Retention, template.Retention)
		r.NotRepeatable = r.NotRepeatable || template.NotRepeatable
	}
	r.Retention = cmp.Or(r.Retention, defaultRetention)
	return nil
}

// checkNames rejects a job that could never run: one without a client key or deadline,
// or with names that are not declared.
func (r *JobRequest) checkNames(snapshot *config.Snapshot) (*config.Priority, error) {
	if r.ClientKey == "" || r.Deadline == 0 {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonInvalid, "a job needs a client key and a deadline")
	}
	if snapshot.Tenants[r.Tenant] == nil {
		return nil, newNameError("Tenant", r.Tenant)
	}
	if snapshot.Services[r.Service] == nil {
		return nil, newNameError("Service", r.Service)
	}
	priority := snapshot.Priorities[r.Priority]
	if priority == nil {
		return nil, newNameError("Priority", r.Priority)
	}
	if priority.Online {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonInvalid, "Priority "+r.Priority+" is for online requests")
	}
	return priority, nil
}

func newNameError(kind, name string) error {
	return outcome.New(outcome.NotRun, outcome.ReasonInvalid, fmt.Sprintf("%s %q does not exist", kind, name))
}

func parseOperation(name string) (engine.Operation, error) {
	switch name {
	case "", OperationChat:
		return engine.OperationChat, nil
	case OperationCompletions:
		return engine.OperationCompletion, nil
	}
	return "", invalidQuery(queryOperation, OperationChat+" or "+OperationCompletions, name)
}
