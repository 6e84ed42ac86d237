package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

// errLeaving is told to requests that come while the node stops; another node takes them.
var errLeaving = outcome.New(outcome.NotRun, outcome.ReasonLeaving, "this node is stopping; send the request to another one").After(time.Second)

// drain counts requests in progress and lets none in once it has started.
type drain struct {
	mutex    sync.Mutex
	running  int
	draining bool
	// empty is closed when draining and nothing runs.
	empty chan struct{}
}

func newDrain() *drain { return &drain{empty: make(chan struct{})} }

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

// closeIfEmpty is called with the mutex held.
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

// wait returns when nothing runs, or with ctx's error.
func (d *drain) wait(ctx context.Context) error {
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
