package roles

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// probeInterval is the interval between readiness probes; an edge that fails maxMisses probes in a row gets no new connections until
	// a probe succeeds.
	probeInterval = time.Second
	maxMisses     = 2
)

// readiness simulates the platform's load balancer: it probes the edges and selects those that get new connections.
type readiness struct {
	edges []*machine

	// mutex guards misses, the failed probes in a row, which starts at maxMisses for each edge.
	mutex  sync.Mutex
	misses map[*machine]int
}

func newReadiness(edges []*machine) *readiness {
	created := &readiness{edges: edges, misses: map[*machine]int{}}
	for _, edge := range edges {
		created.misses[edge] = maxMisses
	}
	return created
}

// probe probes all edges until ctx ends.
func (r *readiness) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var wait sync.WaitGroup
		for _, edge := range r.edges {
			wait.Go(func() {
				response, err := client.Get("http://" + edge.address(portReadiness).String() + wire.PathReady)
				ready := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					// The body is not read, so an error on closing it can be ignored.
					_ = response.Body.Close()
				}
				r.noteProbe(edge, ready)
			})
		}
		pause.Sleep(ctx, probeInterval)
		wait.Wait()
	}
}

func (r *readiness) noteProbe(edge *machine, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ready {
		r.misses[edge] = 0
	} else {
		r.misses[edge]++
	}
}

// inService returns the edges that get new connections, or all edges if none is ready.
func (r *readiness) inService() []*machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var serving []*machine
	for _, edge := range r.edges {
		if r.misses[edge] < maxMisses {
			serving = append(serving, edge)
		}
	}
	if len(serving) == 0 {
		return r.edges
	}
	return serving
}

// allReady reports whether the last probe of every edge succeeded.
func (r *readiness) allReady() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, edge := range r.edges {
		if r.misses[edge] > 0 {
			return false
		}
	}
	return true
}

// pick returns an edge for a new connection.
func (r *readiness) pick(random *rand.Rand) *machine {
	serving := r.inService()
	return serving[random.IntN(len(serving))]
}
