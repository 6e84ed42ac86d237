package platform

import "context"

// Weights describes one stored model version or adapter.
type Weights struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// WeightStore is the port to the rate-limited weight store. Engines fetch from it
// themselves; this system asks it what exists and reserves fetches so that
// the store's rate is not exceeded.
type WeightStore interface {
	// Describe returns one version; an absent one is an error of KindRefused.
	Describe(ctx context.Context, name, version string) (Weights, error)
	// ReserveFetch asks leave for one replica to fetch; KindRateLimited means later.
	ReserveFetch(ctx context.Context, name, version, replica string) error
}
