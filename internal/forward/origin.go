package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/origin"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// Reasons given in the answer to a request that resumes a stream which cannot go on.
const (
	// reasonOriginUnknown: no node knows which version began the stream, or the request does not name the one that brought its first event.
	reasonOriginUnknown = "origin_unknown"
	// reasonOriginUnanswered: nodes that may know it have not answered.
	reasonOriginUnanswered = "origin_unanswered"
	// reasonNoReplicaOfOrigin: no replica may go on with the stream.
	reasonNoReplicaOfOrigin = "no_replica_of_origin"
)

const (
	// originRetention is how long after its deadline the origin of a stream is kept for a caller that resumes it.
	originRetention = 15 * time.Second
	// maxOriginWaitShare is the share of the time left that a request waits for its stream's origin.
	maxOriginWaitShare = 0.25
	// soleVersionTimeouts times the route's timeout is how long a service must have had one version only for a stream to be assumed of that
	// version: it lasts for one timeout at most, and its caller comes back at once.
	soleVersionTimeouts = 2
	// minSoleVersionTime is the minimum of that time, for streams that began under a longer timeout than the route has now.
	minSoleVersionTime = 8 * time.Second
	// retryAfterNoOrigin is the Retry-After of a stream that cannot go on now: a replica that crashed may be back then.
	retryAfterNoOrigin = time.Second
)

// Origins keeps the origins of streams for callers that resume them, at any node. It is safe for concurrent use.
type Origins interface {
	// Record keeps the origin of the stream whose first event the given request brought, for lifetime.
	Record(requestID string, began replica.Origin, lifetime time.Duration)
	// Find returns the origin of that stream. It returns origin.ErrUnknown if no node knows it, and origin.ErrUnanswered if nodes that may
	// know it have not answered.
	Find(ctx context.Context, requestID string) (replica.Origin, error)
}

// SoleVersions tells which version the replicas of a service have. It is safe for concurrent use.
type SoleVersions interface {
	// SoleVersion returns the version that all replicas of a service have had during window, as of a moment after the call; "" if there were
	// several, or if that cannot be shown before ctx ends.
	SoleVersion(ctx context.Context, service string, window time.Duration) string
}

// findOrigin determines the origin of a stream that the caller resumes. It returns the reason for which the stream cannot go on, or "".
func (e *exchange) findOrigin(ctx context.Context) string {
	if e.lastEventID == "" || !e.canResume() {
		return ""
	}
	resumed := e.request.Header.Get(e.handler.headers.Resumes)
	if resumed == "" {
		return e.assumeSoleOrigin(ctx)
	}
	if e.handler.origins == nil {
		return reasonOriginUnknown
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(maxOriginWaitShare*float64(clock.Until(e.deadline))))
	defer cancel()
	found, err := e.handler.origins.Find(bounded, resumed)
	if err != nil {
		e.handler.logger.Info().Str(logging.FieldRequest, e.id).Str("resumes", resumed).Err(err).Msg("origin_not_found")
		if errors.Is(err, origin.ErrUnknown) {
			return reasonOriginUnknown
		}
		return reasonOriginUnanswered
	}
	e.origin = found
	if e.handler.directory.View().Contradicts(found) {
		e.handler.logger.Info().Str(logging.FieldRequest, e.id).Str("resumes", resumed).Str("version", found.Version).Msg("origin_contradicted")
		return reasonOriginUnknown
	}
	if !e.originServed() {
		return reasonNoReplicaOfOrigin
	}
	return ""
}

// assumeSoleOrigin determines the origin of a stream whose caller does not name the request that began it: the route's only service, if its
// replicas have had one version for as long as the stream may have lasted. The edge that began it may have known of a new version before this
// node did, so that the list as this node knows it shows nothing: it must be newer than the request.
func (e *exchange) assumeSoleOrigin(ctx context.Context) string {
	handler := e.handler
	if len(e.route.Backends) != 1 || e.route.Timeout <= 0 || handler.versions == nil || handler.listCurrent == nil || !handler.listCurrent() {
		return reasonOriginUnknown
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(maxOriginWaitShare*float64(clock.Until(e.deadline))))
	defer cancel()
	service := e.route.Backends[0].Service
	version := handler.versions.SoleVersion(bounded, service, max(soleVersionTimeouts*e.route.Timeout, minSoleVersionTime))
	if version == "" {
		return reasonOriginUnknown
	}
	e.origin = replica.Origin{Service: service, Version: version}
	if !e.originServed() {
		return reasonNoReplicaOfOrigin
	}
	return ""
}

// originServed reports whether the route leads to the service that began the stream, and a replica there may go on with it.
func (e *exchange) originServed() bool {
	leads := slices.ContainsFunc(e.route.Backends, func(backend route.Backend) bool { return backend.Service == e.origin.Service })
	return leads && slices.ContainsFunc(e.handler.directory.View().ForService(e.origin.Service), func(handle *replica.Handle) bool {
		return handle.Usable() && e.origin.MayContinueAt(handle)
	})
}

// checkContinuation returns an error that wraps replica.ErrNotSent if the attempt would go on with the stream at another incarnation of the
// replica than that of its entry.
func (e *exchange) checkContinuation(ctx context.Context, handle *replica.Handle) error {
	if e.origin.IsZero() {
		return nil
	}
	if err := e.handler.client.CheckIncarnation(ctx, handle, e.handler.report); err != nil {
		return fmt.Errorf("%w: %w", replica.ErrNotSent, err)
	}
	return nil
}

// recordOrigin records the origin of the stream for callers that resume it. It is called at the first event of the answer.
func (e *exchange) recordOrigin() {
	if e.origin.IsZero() {
		e.origin = e.attemptOrigin
	}
	if !e.canResume() || e.handler.origins == nil {
		return
	}
	lifetime := clock.Until(e.deadline) + originRetention
	e.handler.origins.Record(e.id, e.origin, lifetime)
	if resumed := e.request.Header.Get(e.handler.headers.Resumes); resumed != "" && e.resumedByCaller {
		e.handler.origins.Record(resumed, e.origin, lifetime)
	}
}
