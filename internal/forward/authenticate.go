package forward

import (
	"net/http"

	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/logging"
)

// JobCall serves a call about a batch job.
type JobCall func(writer http.ResponseWriter, request *http.Request, caller batch.Caller)

// AuthenticateJobCall returns a handler that serves call only for callers who may make it. Such calls name a job by its host and its id;
// whether a key is needed is decided by the batch route of that host.
func (h *Handler) AuthenticateJobCall(call JobCall) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		table := h.tableWhenKnown(request.Context())
		if table == nil {
			h.refuse(writer, request, "no_configuration", retryAfterStarting)
			return
		}
		matched := table.MatchBatch(request.Host)
		holder, allowed := table.Authenticate(matched, request.Header.Get(h.headers.APIKey))
		if !allowed {
			h.refuseKey(writer, request, "", table.Version)
			return
		}
		terms := Authenticated{Table: table, Route: matched, Tenant: holder}
		call(writer, request, batch.Caller{Host: request.Host, Tenant: terms.TenantName()})
	}
}

// refuseKey answers a request whose API key no tenant holds. The key itself is not logged.
func (h *Handler) refuseKey(writer http.ResponseWriter, request *http.Request, routeName string, version int64) {
	h.metrics.outcome(routeName, "unknown_key")
	h.logger.Info().Str(logging.FieldRequest, request.Header.Get(h.headers.RequestID)).Str("route", routeName).Int64("version", version).
		Bool("key_given", request.Header.Get(h.headers.APIKey) != "").Msg("key_unknown")
	http.Error(writer, "unknown API key", http.StatusUnauthorized)
}
