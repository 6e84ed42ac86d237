package session

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/engine"
)

const (
	// silenceTimeout is how long a stream may bring nothing before its engine is asked for
	// a sign of life: a request may wait its turn at a healthy engine much longer.
	silenceTimeout = 3 * time.Second
	probeTimeout   = 2 * time.Second
)

// errStalled is the cause of a stream that was given up because its engine hangs.
var errStalled = errors.New("the engine does not answer")

// watchdog finds an engine that hangs with its connections open.
type watchdog struct {
	client engine.Client
	to     engine.Endpoint
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// chunks counts progress, so that a probe that lost against a chunk changes nothing.
	chunks atomic.Int64
}

// watch returns a watchdog whose ctx ends when the engine hangs. stop must be called.
func watch(ctx context.Context, client engine.Client, to engine.Endpoint) *watchdog {
	w := &watchdog{client: client, to: to}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(silenceTimeout, w.probe)
	return w
}

func (w *watchdog) progress() {
	w.chunks.Add(1)
	w.timer.Reset(silenceTimeout)
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// stalled says whether the engine was found hanging.
func (w *watchdog) stalled() bool { return errors.Is(context.Cause(w.ctx), errStalled) }

// probe asks the engine for its load; any answer is a sign of life.
func (w *watchdog) probe() {
	before := w.chunks.Load()
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	_, err := w.client.Load(ctx, w.to)
	switch {
	case w.ctx.Err() != nil || w.chunks.Load() != before:
	case errorx.IsOfType(err, engine.KindLost) || errorx.IsOfType(err, engine.KindNotSent):
		w.cancel(errStalled)
	default:
		w.timer.Reset(silenceTimeout)
	}
}
