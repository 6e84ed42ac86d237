package admission

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/routing"
)

// OnlineRequest holds what Limiter.Admit needs to know about an online request.
type OnlineRequest struct {
	Tenant   *config.Tenant
	Service  *config.Service
	Priority *config.Priority
}

// Limiter admits online requests. It is safe for concurrent use.
type Limiter interface {
	// Admit waits in a bounded queue until the request is admitted or ctx ends. On success
	// the caller calls release once, when the request has ended. The error is an
	// *outcome.Error with outcome.NotRun; its RetryAfter is set when a delay can be estimated.
	Admit(ctx context.Context, request OnlineRequest) (release func(), err error)
}

// Credit permits one batch item to run on one replica. It is a lease: it expires unless the
// home node of the replica renews it.
type Credit struct {
	Decision routing.Decision
	// Expires is the expiry of the lease at the time of the grant; renewals extend it.
	Expires time.Time
	// Revoked is closed when the item must leave the replica immediately.
	Revoked <-chan struct{}
	// Release returns the credit. The holder calls it once, when the item has ended or has
	// left the replica.
	Release func()
}

// CreditSource grants credits for batch items. It is safe for concurrent use.
type CreditSource interface {
	// Acquire waits for a credit on an idle replica. Waiting items are served by priority
	// rank (highest first), then by deadline (earliest first). If ctx ends first, the error
	// is ctx.Err().
	Acquire(ctx context.Context, request BatchRequest) (*Credit, error)
}

// BatchRequest describes a batch item that needs a credit.
type BatchRequest struct {
	Routing routing.Request
	Tenant  string
	// Rank is the rank of the item's priority; higher ranks are served first.
	Rank     int
	Deadline time.Time
}
