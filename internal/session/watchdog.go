package session

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/engine"
)

const (
	// silenceTimeout is how long a stream may deliver no chunk before its engine is probed. It
	// is no reason to give up by itself: a healthy engine may queue a request much longer.
	silenceTimeout = 3 * time.Second
	probeTimeout   = 2 * time.Second
)

// errStalled is the cause of a stream that was given up because its engine hangs.
var errStalled = errors.New("the engine does not answer probes")

// watchdog detects an engine that hangs while its connections stay open.
type watchdog struct {
	client engine.Client
	to     engine.Endpoint
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// probing is held during a probe, so that none is in flight once stop has returned.
	probing sync.Mutex
	// chunks counts the chunks received, so that a probe during which a chunk arrived has no
	// effect.
	chunks atomic.Int64
}

// newWatchdog returns a watchdog whose ctx is cancelled when the engine hangs. The caller must call
// stop.
func newWatchdog(ctx context.Context, client engine.Client, to engine.Endpoint) *watchdog {
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
	w.cancel(nil)
	w.probing.Lock()
	defer w.probing.Unlock()
	w.timer.Stop()
}

// stalled reports whether the engine was found to hang.
func (w *watchdog) stalled() bool { return errors.Is(context.Cause(w.ctx), errStalled) }

// probe requests the engine's load. Any answer counts as alive, also a refusal.
func (w *watchdog) probe() {
	w.probing.Lock()
	defer w.probing.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	chunksBefore := w.chunks.Load()
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	_, err := w.client.Load(ctx, w.to)
	switch {
	case w.ctx.Err() != nil || w.chunks.Load() != chunksBefore:
	case errorx.IsOfType(err, engine.KindLost) || errorx.IsOfType(err, engine.KindNotSent):
		w.cancel(errStalled)
	default:
		w.timer.Reset(silenceTimeout)
	}
}
