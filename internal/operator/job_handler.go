package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
)

var errNoJobs = outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "this node serves no jobs")

func (h *handler) submitJob(response http.ResponseWriter, request *http.Request) {
	if h.jobs == nil || h.inForce == nil {
		writeError(response, errNoJobs)
		return
	}
	submission, err := newSubmission(request.URL.Query(), h.inForce.Current())
	if err != nil {
		writeError(response, err)
		return
	}
	submission.Items = &idleTimeoutReader{
		body:       http.MaxBytesReader(response, request.Body, h.limits.MaxBatchFileBytes),
		controller: http.NewResponseController(response),
		timeout:    h.limits.BodyTimeout,
	}
	status, err := h.jobs.Submit(request.Context(), submission)
	if err != nil {
		writeError(response, bodyError(err))
		return
	}
	writeJSON(response, http.StatusOK, newJobView(status))
}

// bodyError replaces the error of a body that is too large by one that states the limit.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.New(outcome.NotRun, outcome.ReasonTooLarge, "the input is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return err
}

// idleTimeoutReader fails if the body makes no progress for longer than timeout.
type idleTimeoutReader struct {
	body       io.Reader
	controller *http.ResponseController
	timeout    time.Duration
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(buffer []byte) (int, error) {
	err := r.controller.SetReadDeadline(time.Now().Add(r.timeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	count, readErr := r.body.Read(buffer)
	if readErr != nil {
		clearReadDeadline(r.controller)
	}
	return count, readErr
}

// clearReadDeadline removes the read deadline of the body. The server continues to read
// in the background and would otherwise cancel the request at the deadline.
func clearReadDeadline(controller *http.ResponseController) {
	_ = controller.SetReadDeadline(time.Time{})
}

// JobList is one page of jobs.
type JobList struct {
	Jobs []JobView `json:"jobs"`
}

const defaultListLimit = 100

func (h *handler) listJobs(response http.ResponseWriter, request *http.Request) {
	if h.jobs == nil {
		writeError(response, errNoJobs)
		return
	}
	limit, err := queryInteger(request, queryLimit, defaultListLimit)
	if err != nil {
		writeError(response, err)
		return
	}
	query := request.URL.Query()
	page, err := h.jobs.List(request.Context(), query.Get(queryTenant), query.Get(queryAfter), int(min(limit, jobPageSize)))
	if err != nil {
		writeError(response, err)
		return
	}
	list := JobList{Jobs: []JobView{}}
	for _, status := range page {
		list.Jobs = append(list.Jobs, newJobView(status))
	}
	writeJSON(response, http.StatusOK, list)
}

func (h *handler) getJob(response http.ResponseWriter, request *http.Request) {
	h.withJob(response, request, func(tenant, id string) (job.Status, error) {
		return h.jobs.Status(request.Context(), tenant, id)
	})
}

func (h *handler) cancelJob(response http.ResponseWriter, request *http.Request) {
	h.withJob(response, request, func(tenant, id string) (job.Status, error) {
		return h.jobs.Cancel(request.Context(), tenant, id)
	})
}

func (h *handler) withJob(response http.ResponseWriter, request *http.Request, use func(tenant, id string) (job.Status, error)) {
	if h.jobs == nil {
		writeError(response, errNoJobs)
		return
	}
	status, err := use(request.URL.Query().Get(queryTenant), mux.Vars(request)["id"])
	if err != nil {
		writeError(response, err)
		return
	}
	writeJSON(response, http.StatusOK, newJobView(status))
}

// trailerResultCount is the HTTP trailer of a complete result stream. A stream without
// it is incomplete.
const trailerResultCount = "X-Result-Count"

const contentTypeLines = "application/jsonl"

// getResults streams results as JSON lines. If it fails after the first line, the
// stream ends without its trailer.
func (h *handler) getResults(response http.ResponseWriter, request *http.Request) {
	if h.jobs == nil {
		writeError(response, errNoJobs)
		return
	}
	from, err := queryInteger(request, queryFrom, 0)
	if err != nil {
		writeError(response, err)
		return
	}
	count := 0
	id := mux.Vars(request)["id"]
	encoder := json.NewEncoder(response)
	writeHeaders := func() {
		response.Header().Set("Trailer", trailerResultCount)
		response.Header().Set("Content-Type", contentTypeLines)
	}
	err = h.jobs.Results(request.Context(), request.URL.Query().Get(queryTenant), id, int(from), func(result job.ItemResult) error {
		if count == 0 {
			writeHeaders()
		}
		count++
		return encoder.Encode(result)
	})
	if err != nil && count == 0 {
		writeError(response, err)
		return
	}
	if err != nil {
		h.logger.Warn().Err(err).Str(logging.FieldJob, id).Int("sent", count).Msg("result_stream_cut")
		return
	}
	if count == 0 {
		writeHeaders()
		response.WriteHeader(http.StatusOK)
	}
	response.Header().Set(trailerResultCount, strconv.Itoa(count))
}
