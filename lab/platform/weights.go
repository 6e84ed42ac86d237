package platform

import (
	"golang.org/x/time/rate"

	port "github.com/sloelift/sloelift/internal/platform"
)

// weights is the weight store with its rate limit for fetches.
type weights struct {
	versions map[weightsKey]port.Weights
	limiter  *rate.Limiter
}

type weightsKey struct{ name, version string }

func newWeights(stored []port.Weights, fetchesPerSecond float64) *weights {
	limiter := rate.NewLimiter(rate.Inf, 0)
	if fetchesPerSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(fetchesPerSecond), max(1, int(fetchesPerSecond)))
	}
	versions := make(map[weightsKey]port.Weights, len(stored))
	for _, version := range stored {
		versions[weightsKey{version.Name, version.Version}] = version
	}
	return &weights{versions: versions, limiter: limiter}
}

func (w *weights) describe(name, version string) (port.Weights, error) {
	found, present := w.versions[weightsKey{name, version}]
	if !present {
		return port.Weights{}, port.KindRefused.New("no such weights: %s %s", name, version)
	}
	return found, nil
}

func (w *weights) reserve(name, version string) error {
	if _, err := w.describe(name, version); err != nil {
		return err
	}
	if !w.limiter.Allow() {
		return port.KindRateLimited.New("fetch rate is spent")
	}
	return nil
}
