package platform

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("platform")

// Error kinds of the platform ports.
var (
	// KindUnavailable: the service did not accept the call; it had no effect.
	KindUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// KindUnknownOutcome: the call was sent but its answer is missing; it may have taken effect.
	KindUnknownOutcome = namespace.NewType("unknown_outcome", errorx.Temporary())
	// KindRateLimited: the call exceeded the rate limit, of the service or of this node; it had no effect.
	KindRateLimited = namespace.NewType("rate_limited", errorx.Temporary())
	// KindCompacted: the requested revision has been compacted.
	KindCompacted = namespace.NewType("compacted")
	// KindTooLong: the listing has more entries than the caller's maximum.
	KindTooLong = namespace.NewType("too_long")
	// KindLeaseNotFound: the lease has expired or never existed.
	KindLeaseNotFound = namespace.NewType("lease_not_found")
	// KindRefused: the fence token is lower than one already seen, or the order is invalid.
	KindRefused = namespace.NewType("refused")
)
