package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// connectTimeoutShare is the share of the route's objective that connecting to one replica may take. minConnectTimeout is its lower
	// bound: connecting takes a few ms within a region, and some tens of ms on a node that is short of CPU time.
	connectTimeoutShare = 0.4
	minConnectTimeout   = 100 * time.Millisecond
)

// callFor returns the request in the form in which it is sent to the replica.
func (e *exchange) callFor(handle *replica.Handle) replica.Call {
	headers := e.handler.headers
	header := endToEndHeaders(e.request.Header)
	header.Set(headers.Deadline, strconv.FormatInt(max(1, clock.Until(e.deadline).Milliseconds()), 10))
	header.Del(headers.APIKey)
	header.Del(headers.Tenant)
	if name := e.auth.TenantName(); name != "" {
		header.Set(headers.Tenant, name)
	}
	header.Set(headers.ExpectInstance, handle.Info().ID)
	if e.lastEventID != "" {
		header.Set(headers.LastEventID, e.lastEventID)
	}
	return replica.Call{
		Method: e.request.Method, Target: targetOf(e.request), Host: e.request.Host, Header: header, Body: e.body, RequestID: e.id,
		Fresh: e.silenceDetected, ConnectWithin: connectTimeout(e.route.Objective),
	}
}

// connectTimeout bounds connecting to a replica: a request that is not sent yet can still be on time at another replica. 0, for a route
// without an objective, leaves the client's own bound in force.
func connectTimeout(objective time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return max(minConnectTimeout, time.Duration(connectTimeoutShare*float64(objective)))
}

// targetOf returns the path and query as the caller sent them, without the scheme and host of an absolute-form target.
func targetOf(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}
