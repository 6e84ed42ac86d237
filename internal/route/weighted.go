package route

import "sync"

// weightedPicker distributes requests to backends by smooth weighted round robin, which keeps the share of each backend
// exact over any sequence of requests. It is safe for concurrent use.
type weightedPicker struct {
	mutex sync.Mutex
	// credit is guarded by mutex. The backend with the highest credit is next.
	credit   []float64
	backends []Backend
	total    float64
}

func newWeightedPicker(backends []Backend) *weightedPicker {
	picker := &weightedPicker{backends: backends, credit: make([]float64, len(backends))}
	for _, backend := range backends {
		picker.total += backend.Weight
	}
	return picker
}

func (p *weightedPicker) next() string {
	if len(p.backends) == 0 {
		return ""
	}
	if len(p.backends) == 1 || p.total <= 0 {
		return p.backends[0].Service
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	best := 0
	for index, backend := range p.backends {
		p.credit[index] += backend.Weight
		if p.credit[index] > p.credit[best] {
			best = index
		}
	}
	p.credit[best] -= p.total
	return p.backends[best].Service
}
