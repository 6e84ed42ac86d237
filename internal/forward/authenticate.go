package forward

import (
	"net/http"

	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/logging"
)

// JobCall serves a call about a batch job (its status or its results, for example).
type JobCall func(writer http.ResponseWriter, request *http.Request, caller batch.Caller)

// AuthenticateJobCall returns a handler that passes only authorized callers on to call. Such calls name a job by its host and its ID;
// the batch route of that host decides whether an API key is needed.
func (h *Handler) AuthenticateJobCall(call JobCall) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		table := h.waitForTable(request.Context())
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
		auth := AuthenticatedRequest{Table: table, Route: matched, Tenant: holder}
		call(writer, request, batch.Caller{Host: request.Host, Tenant: auth.TenantName()})
	}
}

// refuseKey answers 401 to a request whose API key belongs to no tenant. The key itself is not logged.
func (h *Handler) refuseKey(writer http.ResponseWriter, request *http.Request, routeName string, configVersion int64) {
	h.metrics.countOutcome(routeName, "unknown_key")
	h.logger.Info().Str(logging.FieldRequest, request.Header.Get(h.headers.RequestID)).Str("route", routeName).Int64("version", configVersion).
		Bool("key_given", request.Header.Get(h.headers.APIKey) != "").Msg("key_unknown")
	http.Error(writer, "unknown API key", http.StatusUnauthorized)
}
