package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// defaultQuietLimit is how long a generation may bring nothing before the engine is asked, over another connection, how far its run is.
// A request may wait its turn at a sound engine for longer; then it is asked again after as long.
const defaultQuietLimit = 3 * time.Second

// errSilentConnection is the cause of a generation that was given up since its connection does not bring what the engine has made.
var errSilentConnection = errors.New("the connection is silent while the run goes on")

// quietWatch finds a generation whose connection has gone silent without a reset.
type quietWatch struct {
	client    *HTTPClient
	to        Endpoint
	requestID string
	ctx       context.Context
	giveUp    context.CancelCauseFunc
	timer     *time.Timer
	// received is the offset behind the last chunk that came.
	received atomic.Int64
}

// watchQuiet returns a watch whose giveUp is called where the connection is found silent. stop must be called.
func (c *HTTPClient) watchQuiet(ctx context.Context, giveUp context.CancelCauseFunc, to Endpoint, request Request) *quietWatch {
	watch := &quietWatch{client: c, to: to, requestID: request.ID, ctx: ctx, giveUp: giveUp}
	watch.received.Store(int64(request.Offset))
	watch.timer = time.AfterFunc(c.quietLimit, watch.look)
	return watch
}

// progress notes that something came.
func (w *quietWatch) progress(offset int) {
	w.received.Store(int64(offset))
	w.timer.Reset(w.client.quietLimit)
}

func (w *quietWatch) stop() { w.timer.Stop() }

// look asks how far the run is.
func (w *quietWatch) look() {
	before := w.received.Load()
	state, err := w.client.runState(w.ctx, w.to, w.requestID)
	switch {
	case w.ctx.Err() != nil || w.received.Load() != before:
		return
	case errorx.IsOfType(err, KindLost):
		// The connection of this question may have gone silent as well.
		w.client.transport.CloseIdleConnections()
	case errorx.IsOfType(err, KindNoSuchRun), err == nil && (int64(state.Offset) > before || state.State == stateFinished):
		w.client.transport.CloseIdleConnections()
		w.giveUp(errSilentConnection)
		return
	}
	w.timer.Reset(w.client.quietLimit)
}

// runState asks an engine how far a run is; KindNoSuchRun where it knows none.
func (c *HTTPClient) runState(ctx context.Context, to Endpoint, requestID string) (runState, error) {
	var state runState
	err := c.controlJSON(ctx, to, "/v1/requests/"+requestID, &state)
	return state, err
}
