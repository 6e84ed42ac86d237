package batch

import (
	"context"

	"github.com/sloelift/sloelift/internal/replica"
)

// mayStart says that the replica may get one more run, or one more lease of a run, and counts it.
func (s *Service) mayStart(ctx context.Context, handle *replica.Handle) bool {
	return s.options.ColdStarts == nil || s.options.ColdStarts.Take(ctx, handle)
}
