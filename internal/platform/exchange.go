package platform

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/network"
)

// Exchanger makes HTTP calls to one address and returns the answers whatever their status. Adapters of HTTP services use
// it and interpret the status themselves. It is safe for concurrent use.
type Exchanger struct {
	caller  *httpCaller
	address netip.AddrPort
	timeout *adaptiveTimeout
	monitor *answerMonitor
	prober  *prober
}

// NewExchanger returns an Exchanger; it connects on first use.
func NewExchanger(dialer network.Network, address netip.AddrPort) *Exchanger {
	exchanger := &Exchanger{
		caller: newHTTPCaller(dialer, []netip.AddrPort{address}), address: address, timeout: newAdaptiveTimeout(), monitor: newAnswerMonitor(),
	}
	exchanger.prober = newProber(exchanger.monitor.awaitsOverdue)
	exchanger.monitor.onOverdue = exchanger.prober.start
	return exchanger
}

// LogTo makes the Exchanger log when the service falls silent and when it answers again. It must be called before the first call.
func (e *Exchanger) LogTo(logger zerolog.Logger) { e.monitor.logger = logger }

// ProbeBy makes the Exchanger probe the service by GET calls of target while an answer is overdue. The call must be cheap, and may be
// answered by any status. ProbeBy must be called before the first call.
func (e *Exchanger) ProbeBy(target string) {
	e.prober.probe = func(ctx context.Context) {
		began := time.Now()
		if _, _, err := e.send(ctx, http.MethodGet, target, readsOnly, nil, func() {}); err == nil {
			e.monitor.recordAnswer(began)
		}
	}
}

// SetProbeInterval sets the function that returns the mean time between two probes, ProbeInterval at least. It must be called before the
// first call.
func (e *Exchanger) SetProbeInterval(interval func() time.Duration) { e.prober.interval = interval }

// OnRecovery sets a function that is called when the service answers again after a silence; it must not block. OnRecovery must be called
// before the first call.
func (e *Exchanger) OnRecovery(recovered func()) { e.monitor.onRecovery = recovered }

// ProbeNow makes a probe at once, or as soon as an answer is overdue.
func (e *Exchanger) ProbeNow() { e.prober.probeNow() }

// Close ends probes and closes idle connections.
func (e *Exchanger) Close() {
	e.prober.close()
	e.caller.close()
}

// Read makes a call without side effects. Without a complete answer the error is of KindUnavailable.
func (e *Exchanger) Read(ctx context.Context, method, target string) (status int, body []byte, err error) {
	return e.ReadLongPoll(ctx, method, target, 0)
}

// readResult is the result of one attempt of a read.
type readResult struct {
	status int
	body   []byte
	err    error
}

// ReadLongPoll is Read of an answer that the service may delay by up to hold, as in long polling. If the answer appears to be lost, the
// call is hedged, and the first answer is returned.
func (e *Exchanger) ReadLongPoll(ctx context.Context, method, target string, hold time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := e.monitor.begin(hold)
	defer e.monitor.end(read)
	results := make(chan readResult, 1+maxHedges)
	attempt := func() {
		status, body, err := e.exchange(ctx, hold, method, target, readsOnly, nil, func() { e.monitor.recordProgress(read) })
		results <- readResult{status: status, body: body, err: err}
	}
	go attempt()
	for inFlight := 1; ; {
		select {
		case result := <-results:
			inFlight--
			if result.err == nil || inFlight == 0 {
				return result.status, result.body, result.err
			}
		case <-read.hedge:
			inFlight++
			e.monitor.recordHedge(read)
			go attempt()
		}
	}
}

// Change makes a call that may have side effects. Without a complete answer the error is of KindUnavailable if nothing was
// sent, else of KindUnknownOutcome.
func (e *Exchanger) Change(ctx context.Context, method, target string, content []byte) (status int, body []byte, err error) {
	return e.exchange(ctx, 0, method, target, changes, content, func() {})
}

// exchange makes a call whose answer the service may delay by up to hold; onProgress is called whenever a part of the answer has arrived.
func (e *Exchanger) exchange(
	ctx context.Context, hold time.Duration, method, target string, kind effect, content []byte, onProgress func(),
) (status int, answer []byte, err error) {
	began := time.Now()
	err = e.timeout.call(ctx, hold, e.caller, func(ctx context.Context, extendTimeout func()) error {
		status, answer, err = e.send(ctx, method, target, kind, content, func() {
			extendTimeout()
			onProgress()
		})
		return err
	})
	if err == nil {
		e.monitor.recordAnswer(began)
	}
	return status, answer, err
}

// send makes a call; onProgress is called whenever a part of the answer has arrived.
func (e *Exchanger) send(ctx context.Context, method, target string, kind effect, content []byte, onProgress func()) (int, []byte, error) {
	answer, err := e.caller.send(ctx, e.address, method, target, kind, content)
	if err != nil {
		return 0, nil, err
	}
	defer closeBody(answer)
	onProgress()
	body, err := io.ReadAll(io.LimitReader(&progressReader{answer.Body, onProgress}, maxAnswerBodyBytes))
	if err != nil && kind == changes && answer.StatusCode == http.StatusOK {
		return 0, nil, KindUnknownOutcome.Wrap(err, "the answer of %s broke off", e.address)
	}
	if err != nil {
		return 0, nil, KindUnavailable.Wrap(err, "the answer of %s broke off", e.address)
	}
	return answer.StatusCode, body, nil
}

// progressReader calls onProgress after each read that returned data.
type progressReader struct {
	io.Reader
	onProgress func()
}

func (r *progressReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	if count > 0 {
		r.onProgress()
	}
	return count, err
}
