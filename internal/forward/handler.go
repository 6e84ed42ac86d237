package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/coldstart"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/tenant"
)

const (
	// The Retry-After values of 503 answers: retryAfterNoRoom when all replicas are full, retryAfterStarting when this process has no
	// configuration yet, retryAfterLeaving when it shuts down.
	retryAfterNoRoom   = 150 * time.Millisecond
	retryAfterStarting = 300 * time.Millisecond
	retryAfterLeaving  = 20 * time.Millisecond
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
)

// AuthenticatedRequest is an authenticated request with the configuration, route and tenant under which it is served.
type AuthenticatedRequest struct {
	// Table is the configuration under which it is served.
	Table *route.Table
	Route *route.Route
	// Tenant is the tenant that owns the request; nil if no tenants are declared, or if a request on a public route has no tenant's key.
	Tenant *tenant.Tenant
}

// TenantName returns the tenant's name, or "" if there is none.
func (a AuthenticatedRequest) TenantName() string {
	if a.Tenant == nil {
		return ""
	}
	return a.Tenant.Name
}

// BatchSubmitter handles submissions on batch routes.
type BatchSubmitter interface {
	Submit(writer http.ResponseWriter, request *http.Request, auth AuthenticatedRequest, body []byte)
}

// Quota enforces the tenants' request limits across all nodes. It is safe for concurrent use.
type Quota interface {
	Admit(ctx context.Context, holder *tenant.Tenant, version int64) quota.Verdict
	// GiveBack refunds an admitted request that no replica has run.
	GiveBack(holder *tenant.Tenant)
}

// Handler is the HTTP entry point of one process for callers' requests. It is safe for concurrent use.
type Handler struct {
	routes *route.Holder
	// directory holds the replicas that picker chooses from.
	directory *replica.Directory
	picker    *balance.Picker
	client    *replica.Client
	headers   replica.Headers
	zone      string
	batch     BatchSubmitter
	budget    *retryBudget
	gate      *Gate
	// quota is nil if no limits are enforced.
	quota Quota
	// refreshLoad, if not nil, updates the load that other nodes have at the replicas.
	refreshLoad func(ctx context.Context)
	// coldStarts and quarantine are nil if cold replicas are not limited, or if no message is quarantined.
	coldStarts coldstart.Limiter
	quarantine quarantine.Register
	// origins is nil if callers cannot resume streams.
	origins Origins
	// report defines how replicas report their load.
	report replica.LoadReport
	// listCurrent reports whether this process hears of changes to the list of replicas; nil if it never does.
	listCurrent func() bool
	// versions is nil if streams of callers that name no request are not resumed.
	versions SoleVersions
	// estimates holds the observed timeouts and latencies of the routes.
	estimates *routeEstimates
	logger    zerolog.Logger
	metrics   *Metrics
	draining  *draining
}

// Options configure a Handler. These may be nil: Batch; Quota, if no limits are enforced; Gate, if no requests are held; ColdStarts, if
// cold replicas may get as many requests as warm ones; Quarantine, if no message is quarantined; Origins, if callers cannot resume streams at
// another answer's end; and Refresh, which is called before a
// replica is chosen to update the load that other nodes have at the replicas.
type Options struct {
	Routes     *route.Holder
	Directory  *replica.Directory
	Picker     *balance.Picker
	Client     *replica.Client
	Zone       string
	Batch      BatchSubmitter
	Gate       *Gate
	Quota      Quota
	Refresh    func(ctx context.Context)
	ColdStarts coldstart.Limiter
	Quarantine quarantine.Register
	Origins    Origins
	// Report defines how replicas report their load; without it they are not asked which incarnation answers.
	Report replica.LoadReport
	// ListCurrent reports whether this process hears of changes to the list of replicas; while it does not, the key-value service is not asked
	// for versions. If it or Versions is nil, callers must name the request that began a stream which they resume.
	ListCurrent func() bool
	Versions    SoleVersions
	Logger      zerolog.Logger
	Metrics     *Metrics
}

// NewHandler returns a Handler.
func NewHandler(options Options) *Handler {
	return &Handler{
		routes: options.Routes, directory: options.Directory, picker: options.Picker, client: options.Client, headers: options.Client.Headers(),
		zone: options.Zone, batch: options.Batch, budget: newRetryBudget(), gate: options.Gate, quota: options.Quota,
		refreshLoad: options.Refresh, estimates: newRouteEstimates(), coldStarts: options.ColdStarts, quarantine: options.Quarantine,
		origins: options.Origins, listCurrent: options.ListCurrent, versions: options.Versions, report: options.Report,
		draining: newDraining(), metrics: options.Metrics,
		logger: options.Logger.With().Str(logging.FieldSlice, "forward").Logger(),
	}
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := clock.Now()
	if h.draining.begun() {
		writer.Header().Set("Connection", "close")
	}
	table := h.waitForTable(request.Context())
	if table == nil {
		h.refuse(writer, request, "no_configuration", retryAfterStarting)
		return
	}
	matched := table.Match(request.Host, request.URL.Path)
	if matched == nil {
		h.metrics.countOutcome("", "no_route")
		h.logger.Info().Str(logging.FieldRequest, request.Header.Get(h.headers.RequestID)).Int64("version", table.Version).
			Str("host", request.Host).Str("path", request.URL.Path).Msg("no_route")
		http.Error(writer, "no route", http.StatusNotFound)
		return
	}
	holder, allowed := table.Authenticate(matched, request.Header.Get(h.headers.APIKey))
	if !allowed {
		h.refuseKey(writer, request, matched.Name, table.Version)
		return
	}
	if matched.Kind == route.Batch && h.batch == nil {
		h.refuse(writer, request, "no_batch", retryAfterStarting)
		return
	}
	auth := AuthenticatedRequest{Table: table, Route: matched, Tenant: holder}
	deadline := callerDeadline(request, h.headers.Deadline, matched, arrived)
	if matched.Kind != route.Batch && h.draining.mayOutlast(matched, deadline) {
		h.RefuseLeaving(writer, request)
		return
	}
	body, whole := h.receiveBody(writer, request, auth, deadline)
	if matched.Kind == route.Batch {
		h.logSubmission(request, body, whole, clock.Since(arrived))
	}
	switch {
	case !whole:
	case matched.Kind == route.Batch:
		h.batch.Submit(writer, request, auth, body)
	default:
		h.serveOnline(writer, request, auth, body, arrived, deadline)
	}
}

// logSubmission logs how long the body of a submission took to arrive, whole or not.
func (h *Handler) logSubmission(request *http.Request, body []byte, whole bool, took time.Duration) {
	h.logger.Info().Str(logging.FieldRequest, request.Header.Get(h.headers.RequestID)).Int("bytes", len(body)).Bool("whole", whole).
		Dur("took", took).Msg("submission_received")
}

// receiveBody reads the whole body until deadline. It answers a request whose body cannot be read; whole is false then.
func (h *Handler) receiveBody(writer http.ResponseWriter, request *http.Request, auth AuthenticatedRequest, deadline time.Time) (body []byte, whole bool) {
	// The deadline keeps a sender that stalls from holding the connection for ever. An error of SetReadDeadline is ignored: the
	// connection has ended then, and the read reports it.
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(clock.Until(deadline)))
	body, status := readBody(writer, request, auth.Table.Limits.MaxBodyBytes)
	if status != 0 {
		// The connection is closed instead of waiting for the rest of the body.
		writer.Header().Set("Connection", "close")
		h.metrics.countOutcome(auth.Route.Name, "bad_body")
		http.Error(writer, http.StatusText(status), status)
		return nil, false
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, true
}

func (h *Handler) serveOnline(writer http.ResponseWriter, request *http.Request, auth AuthenticatedRequest, body []byte, arrived, deadline time.Time) {
	ctx, cancel := h.requestContext(request, deadline)
	defer cancel()
	current := &exchange{
		handler: h, writer: writer, request: request, auth: auth, route: auth.Route, body: body, arrived: arrived, deadline: deadline,
		id: request.Header.Get(h.headers.RequestID), lastEventID: request.Header.Get(h.headers.LastEventID),
	}
	if h.withinQuota(ctx, current) {
		current.serve(ctx)
	}
}

// withinQuota reports whether the request is within its tenant's limit; if not, it answers 429.
func (h *Handler) withinQuota(ctx context.Context, current *exchange) bool {
	holder := current.auth.Tenant
	if h.quota == nil || holder == nil {
		return true
	}
	verdict := h.quota.Admit(ctx, holder, current.auth.Table.Version)
	if verdict.Admitted {
		return true
	}
	h.metrics.countOutcome(current.route.Name, "over_quota")
	SetRetryAfter(current.writer.Header(), verdict.RetryAfter)
	http.Error(current.writer, "over quota", http.StatusTooManyRequests)
	return false
}

// callerDeadline returns the earlier of the deadlines set by the caller and by the route, at most one hour after the arrival.
func callerDeadline(request *http.Request, header string, matched *route.Route, arrived time.Time) time.Time {
	const maxTimeout = time.Hour
	allowed := maxTimeout
	if matched.Timeout > 0 {
		allowed = min(allowed, matched.Timeout)
	}
	if milliseconds, err := strconv.ParseFloat(request.Header.Get(header), 64); err == nil && milliseconds >= 0 {
		allowed = min(allowed, time.Duration(milliseconds*float64(time.Millisecond)))
	}
	return arrived.Add(allowed)
}

// readBody reads the whole body, at most limit bytes; status is the HTTP status of the failure, or 0.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64) (body []byte, status int) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if request.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	reader := http.MaxBytesReader(writer, request.Body, limit)
	if request.ContentLength >= 0 {
		body = make([]byte, request.ContentLength)
		_, err := io.ReadFull(reader, body)
		return body, bodyStatus(err)
	}
	body, err := io.ReadAll(reader)
	return body, bodyStatus(err)
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// refuse answers 503, which guarantees that the request has not run and will not run, with a Retry-After.
func (h *Handler) refuse(writer http.ResponseWriter, request *http.Request, reason string, after time.Duration) {
	h.metrics.countOutcome("", reason)
	h.logger.Info().Str(logging.FieldRequest, request.Header.Get(h.headers.RequestID)).Str(logging.FieldReason, reason).Msg("refused")
	SetRetryAfter(writer.Header(), after)
	http.Error(writer, reason, http.StatusServiceUnavailable)
}

// SetRetryAfter sets the Retry-After header in seconds with three decimals.
func SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
