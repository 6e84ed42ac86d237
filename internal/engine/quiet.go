package engine

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// defaultSilenceTimeout is how long a generation may deliver nothing before the engine is asked for the
// state of the run over another connection. A healthy engine may queue a request for longer; the
// state is then requested again after the same time.
const defaultSilenceTimeout = 3 * time.Second

// errSilentConnection is the cause of a generation that was given up because its connection does not
// deliver the tokens that the engine has generated.
var errSilentConnection = errors.New("the connection is silent while the run goes on")

// silenceDetector detects a generation whose connection stopped delivering data without a reset.
type silenceDetector struct {
	client    *HTTPClient
	to        Endpoint
	requestID string
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	// received is the offset after the last chunk received.
	received atomic.Int64
}

// detectSilence starts to monitor a generation and calls cancel if its connection is found silent.
// The caller must call stop.
func (c *HTTPClient) detectSilence(ctx context.Context, cancel context.CancelCauseFunc, to Endpoint, request Request) *silenceDetector {
	detector := &silenceDetector{client: c, to: to, requestID: request.ID, ctx: ctx, cancel: cancel}
	detector.received.Store(int64(request.Offset))
	detector.timer = time.AfterFunc(c.silenceTimeout, detector.checkRun)
	return detector
}

// progress records a chunk that ends at offset and restarts the timer.
func (d *silenceDetector) progress(offset int) {
	d.received.Store(int64(offset))
	d.timer.Reset(d.client.silenceTimeout)
}

func (d *silenceDetector) stop() { d.timer.Stop() }

// checkRun requests the state of the run and compares it with the tokens received.
func (d *silenceDetector) checkRun() {
	receivedBefore := d.received.Load()
	state, err := d.client.requestRunState(d.ctx, d.to, d.requestID)
	switch {
	case d.ctx.Err() != nil || d.received.Load() != receivedBefore:
		return
	case errorx.IsOfType(err, KindLost):
		// The connection of this call may be silent as well, so make the next call on a new one.
		d.client.transport.CloseIdleConnections()
	case errorx.IsOfType(err, KindNoSuchRun), err == nil && (int64(state.Offset) > receivedBefore || state.State == stateFinished):
		d.client.transport.CloseIdleConnections()
		d.cancel(errSilentConnection)
		return
	}
	d.timer.Reset(d.client.silenceTimeout)
}

// requestRunState requests the state of a run; the error is KindNoSuchRun if the engine has no such run.
func (c *HTTPClient) requestRunState(ctx context.Context, to Endpoint, requestID string) (runState, error) {
	var state runState
	err := c.controlJSON(ctx, to, "/v1/requests/"+requestID, &state)
	return state, err
}
