package gateway

import (
	"net/http/httptest"
	"testing"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
)

// TestNoConfigurationIsNotUnauthorized checks the answer of a node that has started but has no
// configuration and thus no keys yet: not that the key is invalid, which is final for the caller,
// but that the request may be sent again, to this node later or to another one.
func TestNoConfigurationIsNotUnauthorized(t *testing.T) {
	request := httptest.NewRequest("GET", "/v1/models", nil)
	request.Header.Set("Authorization", "Bearer some-key")
	_, err := authenticate(&config.Snapshot{}, request)
	failure := outcome.As(err)
	if failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonUnavailable || failure.RetryAfter == 0 {
		t.Fatalf("got %v, retry after %v", failure, failure.RetryAfter)
	}
}
