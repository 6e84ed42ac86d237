package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
)

const bearerPrefix = "Bearer "

var errUnauthorized = outcome.New(outcome.NotRun, outcome.ReasonUnauthorized, "a valid bearer key is required")

// errNoConfiguration is returned while no configuration is in force, since no key can be checked.
var errNoConfiguration = outcome.New(outcome.NotRun, outcome.ReasonUnavailable,
	"no configuration is in force on this node yet; send the request to another one").After(time.Second)

// authenticate returns the tenant of a request, looked up by the SHA-256 digest of its bearer key.
func authenticate(snapshot *config.Snapshot, r *http.Request) (*config.Tenant, error) {
	if snapshot.Revision == 0 {
		return nil, errNoConfiguration
	}
	value := r.Header.Get("Authorization")
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return nil, errUnauthorized
	}
	digest := sha256.Sum256([]byte(value[len(bearerPrefix):]))
	tenant, known := snapshot.TenantByKeyDigest[hex.EncodeToString(digest[:])]
	if !known {
		return nil, errUnauthorized
	}
	return tenant, nil
}
