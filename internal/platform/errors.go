package platform

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("platform")

// Error kinds of the platform ports.
var (
	// KindUnavailable: the service did not take the call; it had no effect.
	KindUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// KindUnknownOutcome: the call was sent and its answer is missing; it may have had its effect.
	KindUnknownOutcome = namespace.NewType("unknown_outcome", errorx.Temporary())
	// KindRateLimited: the service refused the call for its rate; it had no effect.
	KindRateLimited = namespace.NewType("rate_limited", errorx.Temporary())
	// KindCompacted: the revision asked for is no longer kept.
	KindCompacted = namespace.NewType("compacted")
	// KindTooLong: there are more entries than the caller wants to read.
	KindTooLong = namespace.NewType("too_long")
	// KindLeaseNotFound: the lease has lapsed or never was.
	KindLeaseNotFound = namespace.NewType("lease_not_found")
	// KindRefused: the fence token is lower than one already seen, or the order is invalid.
	KindRefused = namespace.NewType("refused")
)
