package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
)

// A node that has started but has no configuration yet knows no keys. It must not tell
// a caller that its key is wrong, which is final, but to come back or go elsewhere.
func TestNoConfigurationIsNotUnauthorized(t *testing.T) {
	request := httptest.NewRequest("GET", "/v1/models", nil)
	request.Header.Set("Authorization", "Bearer some-key")
	_, err := tenantOf(&config.Snapshot{}, request)
	failure := outcome.As(err)
	if failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonUnavailable || failure.RetryAfter == 0 {
		t.Fatalf("got %v, retry after %v", failure, failure.RetryAfter)
	}
}
