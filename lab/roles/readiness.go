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
	// readyInterval is how often machines are asked; one that misses missesOut times takes no new connections until it answers again.
	readyInterval = time.Second
	missesOut     = 2
)

// readiness is the platform's view of which edges take connections.
type readiness struct {
	edges []*machine

	// mutex guards misses, which starts at missesOut for each edge.
	mutex  sync.Mutex
	misses map[*machine]int
}

func newReadiness(edges []*machine) *readiness {
	made := &readiness{edges: edges, misses: map[*machine]int{}}
	for _, each := range edges {
		made.misses[each] = missesOut
	}
	return made
}

// follow asks all edges until ctx ends.
func (r *readiness) follow(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var wait sync.WaitGroup
		for _, each := range r.edges {
			wait.Go(func() {
				answer, err := client.Get("http://" + each.at(portReadiness).String() + wire.PathReady)
				good := err == nil && answer.StatusCode == http.StatusOK
				if err == nil {
					// Nothing more is read of it, so that an error of the end is of no matter.
					_ = answer.Body.Close()
				}
				r.note(each, good)
			})
		}
		pause.Sleep(ctx, readyInterval)
		wait.Wait()
	}
}

func (r *readiness) note(of *machine, good bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if good {
		r.misses[of] = 0
	} else {
		r.misses[of]++
	}
}

// in returns the edges that take connections, all where none does.
func (r *readiness) in() []*machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var taking []*machine
	for _, each := range r.edges {
		if r.misses[each] < missesOut {
			taking = append(taking, each)
		}
	}
	if len(taking) == 0 {
		return r.edges
	}
	return taking
}

func (r *readiness) all() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range r.edges {
		if r.misses[each] > 0 {
			return false
		}
	}
	return true
}

// pick returns an edge for a new connection.
func (r *readiness) pick(random *rand.Rand) *machine {
	taking := r.in()
	return taking[random.IntN(len(taking))]
}
