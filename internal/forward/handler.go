package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
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
	// retryAfterNoRoom is told where all replicas are full, retryAfterStarting where this process knows no
	// configuration yet, retryAfterLeaving where it stops.
	retryAfterNoRoom   = 150 * time.Millisecond
	retryAfterStarting = 300 * time.Millisecond
	retryAfterLeaving  = 20 * time.Millisecond
	// defaultMaxBodyBytes holds where the configuration sets no bound.
	defaultMaxBodyBytes = 8 << 20
)

// Authenticated is a request that may be served, with the terms that hold for it.
type Authenticated struct {
	// Table is the configuration by which it is served.
	Table *route.Table
	Route *route.Route
	// Tenant is whose request it is; nil where no tenants are declared, or no tenant holds the key of a request of a public route.
	Tenant *tenant.Tenant
}

// TenantName returns the tenant's name; empty where there is none.
func (a Authenticated) TenantName() string {
	if a.Tenant == nil {
		return ""
	}
	return a.Tenant.Name
}

// BatchSubmitter takes submissions on batch routes.
type BatchSubmitter interface {
	Submit(writer http.ResponseWriter, request *http.Request, terms Authenticated, body []byte)
}

// Quota says whether a tenant's requests are within its limit over all nodes. It is safe for concurrent use.
type Quota interface {
	Admit(ctx context.Context, holder *tenant.Tenant, version int64) quota.Verdict
	// GiveBack returns an admitted request that no replica has run.
	GiveBack(holder *tenant.Tenant)
}

// Handler is the front door of one process. It is safe for concurrent use.
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
	// quota is nil where no limits are kept.
	quota   Quota
	refresh func(ctx context.Context)
	// coldStarts and quarantine are nil where replicas are not protected by them.
	coldStarts coldstart.Limiter
	quarantine quarantine.Register
	// expectations hold what the routes' requests have shown of themselves.
	expectations *expectations
	logger       zerolog.Logger
	metrics      *Metrics
	leaving      atomic.Bool
}

// Options of a Handler. Batch may be nil, Quota where no limits are kept, Gate where no request is held back, ColdStarts where cold replicas
// may get as much as warm ones, and Quarantine where no message is kept from replicas.
// Refresh, where it is set, is called before a replica is chosen, to learn what other nodes have there.
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
	Logger     zerolog.Logger
	Metrics    *Metrics
}

// NewHandler returns a Handler.
func NewHandler(options Options) *Handler {
	return &Handler{
		routes: options.Routes, directory: options.Directory, picker: options.Picker, client: options.Client, headers: options.Client.Headers(),
		zone: options.Zone, batch: options.Batch, budget: newRetryBudget(), gate: options.Gate, quota: options.Quota, refresh: options.Refresh, expectations: newExpectations(),
		coldStarts: options.ColdStarts, quarantine: options.Quarantine,
		logger: options.Logger.With().Str(logging.FieldSlice, "forward").Logger(), metrics: options.Metrics,
	}
}

// Leave makes every later answer close its connection.
func (h *Handler) Leave() { h.leaving.Store(true) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := clock.Now()
	if h.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	table := h.tableWhenKnown(request.Context())
	if table == nil {
		h.refuse(writer, request, "no_configuration", retryAfterStarting)
		return
	}
	matched := table.Match(request.Host, request.URL.Path)
	if matched == nil {
		h.metrics.outcome("", "no_route")
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
	terms := Authenticated{Table: table, Route: matched, Tenant: holder}
	deadline := callerDeadline(request, h.headers.Deadline, matched, arrived)
	body, whole := h.takeBody(writer, request, terms, deadline)
	switch {
	case !whole:
	case matched.Kind == route.Batch:
		h.batch.Submit(writer, request, terms, body)
	default:
		h.serveOnline(writer, request, terms, body, arrived, deadline)
	}
}

// takeBody reads the whole body until deadline, and answers a request whose body cannot be taken.
func (h *Handler) takeBody(writer http.ResponseWriter, request *http.Request, terms Authenticated, deadline time.Time) (body []byte, whole bool) {
	// A body that does not come in time is not waited for: its sender would hold the connection for ever. A connection that takes no
	// deadline has ended, which reading shows.
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(clock.Until(deadline)))
	body, status := readBody(writer, request, terms.Table.Limits.MaxBodyBytes)
	if status != 0 {
		// What is left of the body is not waited for either.
		writer.Header().Set("Connection", "close")
		h.metrics.outcome(terms.Route.Name, "bad_body")
		http.Error(writer, http.StatusText(status), status)
		return nil, false
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, true
}

func (h *Handler) serveOnline(writer http.ResponseWriter, request *http.Request, terms Authenticated, body []byte, arrived, deadline time.Time) {
	ctx, cancel := context.WithTimeout(request.Context(), clock.Until(deadline))
	defer cancel()
	current := &exchange{
		handler: h, writer: writer, request: request, terms: terms, route: terms.Route, body: body, arrived: arrived, deadline: deadline,
		id: request.Header.Get(h.headers.RequestID), lastEvent: request.Header.Get(h.headers.LastEventID),
	}
	if h.withinQuota(ctx, current) {
		current.run(ctx)
	}
}

// withinQuota answers a request that is over its tenant's limit.
func (h *Handler) withinQuota(ctx context.Context, current *exchange) bool {
	holder := current.terms.Tenant
	if h.quota == nil || holder == nil {
		return true
	}
	verdict := h.quota.Admit(ctx, holder, current.terms.Table.Version)
	if verdict.Admitted {
		return true
	}
	h.metrics.outcome(current.route.Name, "over_quota")
	SetRetryAfter(current.writer.Header(), verdict.RetryAfter)
	http.Error(current.writer, "over quota", http.StatusTooManyRequests)
	return false
}

// callerDeadline is the earlier of what the caller and what the route allow.
func callerDeadline(request *http.Request, header string, matched *route.Route, arrived time.Time) time.Time {
	const longest = time.Hour
	allowed := longest
	if matched.Timeout > 0 {
		allowed = min(allowed, matched.Timeout)
	}
	if milliseconds, err := strconv.ParseFloat(request.Header.Get(header), 64); err == nil && milliseconds >= 0 {
		allowed = min(allowed, time.Duration(milliseconds*float64(time.Millisecond)))
	}
	return arrived.Add(allowed)
}

// readBody reads the whole body; status is not 0 where it cannot be taken.
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

// refuse answers 503, which promises that the request has not run and will not, and tells when to come back.
func (h *Handler) refuse(writer http.ResponseWriter, request *http.Request, reason string, after time.Duration) {
	h.metrics.outcome("", reason)
	h.logger.Info().Str(logging.FieldRequest, request.Header.Get(h.headers.RequestID)).Str(logging.FieldReason, reason).Msg("refused")
	SetRetryAfter(writer.Header(), after)
	http.Error(writer, reason, http.StatusServiceUnavailable)
}

// SetRetryAfter tells when to come back, in seconds with a fraction.
func SetRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
