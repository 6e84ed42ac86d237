package operator

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/settings"
)

// Paths of the admin interface.
const (
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
	pathStatus  = "/v1/status"
	pathConfig  = "/v1/config"
	pathApply   = pathConfig + "/apply"
	pathDiff    = pathConfig + "/diff"
	pathRollout = pathConfig + "/rollout"
	pathObject  = pathConfig + "/{kind}/{name}"
	pathUses    = pathObject + "/uses"
	pathJobs    = "/v1/jobs"
	pathJob     = pathJobs + "/{id}"
	pathResults = pathJob + "/results"
	pathCancel  = pathJob + "/cancel"
)

// Query parameters of the admin interface.
const (
	queryExpectRevision = "expect_revision"
	queryForce          = "force"
	queryRevision       = "revision"
	queryTenant         = "tenant"
	queryAfter          = "after"
	queryLimit          = "limit"
	queryFrom           = "from"
)

// handler serves the admin interface. inForce and jobs may be nil: requests that need
// them are then answered with status 503.
type handler struct {
	limits    settings.Limits
	store     config.Store
	inForce   config.Source
	jobs      job.Service
	uses      *usesFinder
	status    *statusReporter
	readiness *Readiness
	logger    zerolog.Logger
	// fileSlots is a semaphore of the files that are processed concurrently.
	fileSlots chan struct{}
	metrics   *changeMetrics
}

// maxConcurrentFiles limits the memory used for parsing.
const maxConcurrentFiles = 2

func (h *handler) routes(gatherer prometheus.Gatherer) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(pathHealth, h.health).Methods(http.MethodGet)
	router.HandleFunc(pathReady, h.ready).Methods(http.MethodGet)
	router.Handle(pathMetrics, promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	router.HandleFunc(pathStatus, h.getStatus).Methods(http.MethodGet)
	router.HandleFunc(pathConfig, h.getConfig).Methods(http.MethodGet)
	router.HandleFunc(pathApply, h.apply).Methods(http.MethodPost)
	router.HandleFunc(pathDiff, h.diff).Methods(http.MethodPost)
	router.HandleFunc(pathRollout, h.getRollout).Methods(http.MethodGet)
	router.HandleFunc(pathUses, h.getUses).Methods(http.MethodGet)
	router.HandleFunc(pathObject, h.withdraw).Methods(http.MethodDelete)
	router.HandleFunc(pathJobs, h.submitJob).Methods(http.MethodPost)
	router.HandleFunc(pathJobs, h.listJobs).Methods(http.MethodGet)
	router.HandleFunc(pathJob, h.getJob).Methods(http.MethodGet)
	router.HandleFunc(pathResults, h.getResults).Methods(http.MethodGet)
	router.HandleFunc(pathCancel, h.cancelJob).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return router
}

func notFound(response http.ResponseWriter, request *http.Request) {
	writeError(response, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "no such path: "+request.URL.Path))
}

func methodNotAllowed(response http.ResponseWriter, request *http.Request) {
	detail := ErrorDetail{
		Code:    string(outcome.ReasonInvalid),
		Outcome: outcome.NotRun,
		Message: request.Method + " is not allowed on " + request.URL.Path,
	}
	writeJSON(response, http.StatusMethodNotAllowed, ErrorBody{Error: detail})
}

// Health is the response body of the health and readiness checks.
type Health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func (h *handler) health(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, Health{Status: "ok"})
}

func (h *handler) ready(response http.ResponseWriter, _ *http.Request) {
	ready, reason := h.readiness.Ready()
	if !ready {
		writeJSON(response, http.StatusServiceUnavailable, Health{Status: "not_ready", Reason: reason})
		return
	}
	writeJSON(response, http.StatusOK, Health{Status: "ready"})
}

func (h *handler) getStatus(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, http.StatusOK, h.status.report())
}

// queryInteger returns a non-negative integer from the query; fallback if it is absent.
func queryInteger(request *http.Request, name string, fallback int64) (int64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, invalidQuery(name, "a whole number from 0", text)
	}
	return value, nil
}

func queryBool(request *http.Request, name string) (bool, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalidQuery(name, "true or false", text)
	}
	return value, nil
}

func invalidQuery(name, wants, text string) error {
	return outcome.New(outcome.NotRun, outcome.ReasonInvalid, fmt.Sprintf("query parameter %s wants %s, not %q", name, wants, text))
}
