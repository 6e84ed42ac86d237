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
	// connectShare is the part of the objective that a connection to one replica may take, leastConnectTime bounds it from below: within a
	// region it takes a few ms, on a node that is short of processor time some tens.
	connectShare     = 0.4
	leastConnectTime = 100 * time.Millisecond
)

// callFor returns the request as the replica gets it.
func (e *exchange) callFor(handle *replica.Handle) replica.Call {
	headers := e.handler.headers
	header := passedOn(e.request.Header)
	header.Set(headers.Deadline, strconv.FormatInt(max(1, clock.Until(e.deadline).Milliseconds()), 10))
	header.Del(headers.APIKey)
	header.Del(headers.Tenant)
	if name := e.terms.TenantName(); name != "" {
		header.Set(headers.Tenant, name)
	}
	header.Set(headers.ExpectInstance, handle.Info().ID)
	if e.lastEvent != "" {
		header.Set(headers.LastEventID, e.lastEvent)
	}
	return replica.Call{
		Method: e.request.Method, Target: targetOf(e.request), Host: e.request.Host, Header: header, Body: e.body, RequestID: e.id,
		Fresh: e.foundSilence, ConnectWithin: connectWithin(e.route.Objective),
	}
}

// connectWithin bounds the making of a connection: a request that is not sent yet can still be in time at another replica. Without an
// objective it is the client's own bound.
func connectWithin(objective time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return max(leastConnectTime, time.Duration(connectShare*float64(objective)))
}

// targetOf returns the path and query as the caller sent them, without the scheme and host that a target may have.
func targetOf(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}
