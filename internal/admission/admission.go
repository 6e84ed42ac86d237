package admission

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/routing"
)

// OnlineRequest is what admission of an online request looks at.
type OnlineRequest struct {
	Tenant   *config.Tenant
	Service  *config.Service
	Priority *config.Priority
}

// Limiter admits online requests. It is safe for concurrent use.
type Limiter interface {
	// Admit waits its turn in a bounded queue until ctx ends. On success, release is
	// called once, when the request has ended. Its error is an *outcome.Error with
	// outcome.NotRun and a RetryAfter where one can be named.
	Admit(ctx context.Context, request OnlineRequest) (release func(), err error)
}

// Credit is leave to run one batch item on one replica.
type Credit struct {
	Decision routing.Decision
	// Expires is when the credit ends unless the home node renews it.
	Expires time.Time
	// Revoked is closed when the item must leave the replica at once.
	Revoked <-chan struct{}
	// Release gives the credit back; it is called once, when the item has ended or left.
	Release func()
}

// CreditSource grants credits for batch items. It is safe for concurrent use.
type CreditSource interface {
	// Acquire waits until an idle replica is granted or ctx ends; then the error is ctx's.
	// Items are granted by rank of priority, then by deadline.
	Acquire(ctx context.Context, request BatchRequest) (*Credit, error)
}

// BatchRequest is what the grant of a credit looks at.
type BatchRequest struct {
	Routing  routing.Request
	Tenant   string
	Rank     int
	Deadline time.Time
}
