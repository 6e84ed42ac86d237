package platform

import "context"

// Weights describes one stored model version or adapter.
type Weights struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightStore is the port to the rate-limited weight store. Engines fetch from it
// directly; this system queries which weights exist and reserves fetches, so that
// the store's rate limit is not exceeded.
type WeightStore interface {
	// Describe returns one version; if it does not exist, the error is of KindRefused.
	Describe(ctx context.Context, name, version string) (Weights, error)
	// ReserveFetch reserves a fetch for one replica; after KindRateLimited the caller should retry later.
	ReserveFetch(ctx context.Context, name, version, replica string) error
}
