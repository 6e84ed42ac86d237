package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

// errLeaving is returned for requests that arrive while the node stops; another node accepts them.
var errLeaving = outcome.New(outcome.NotRun, outcome.ReasonLeaving, "this node is stopping; send the request to another one").After(time.Second)

// drain counts the requests in flight and admits no more once draining has started.
type drain struct {
	mutex    sync.Mutex
	running  int
	draining bool
	// empty is closed once draining has started and no request is in flight.
	empty chan struct{}
}

func newDrain() *drain { return &drain{empty: make(chan struct{})} }

// enter counts a request; it returns false if the node is draining. After true, leave must be
// called.
func (d *drain) enter() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.draining {
		return false
	}
	d.running++
	return true
}

func (d *drain) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running--
	d.closeIfEmpty()
}

// closeIfEmpty closes empty if draining is complete. The caller must hold the mutex.
func (d *drain) closeIfEmpty() {
	if d.draining && d.running == 0 {
		close(d.empty)
	}
}

func (d *drain) start() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.draining {
		d.draining = true
		d.closeIfEmpty()
	}
}

func (d *drain) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.running
}

func (d *drain) isDraining() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.draining
}

// wait returns nil once draining is complete, or ctx's error.
func (d *drain) wait(ctx context.Context) error {
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
