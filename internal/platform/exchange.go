package platform

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/network"
)

// Exchanger makes HTTP calls to one address and gives back whatever answer comes. An adapter of a service that speaks HTTP
// is built on it; what an answer means is the adapter's to say. It is safe for concurrent use.
type Exchanger struct {
	caller   *httpCaller
	address  netip.AddrPort
	patience *patience
}

// NewExchanger returns an Exchanger; nothing connects yet.
func NewExchanger(dialer network.Network, address netip.AddrPort) *Exchanger {
	return &Exchanger{caller: newHTTPCaller(dialer, []netip.AddrPort{address}), address: address, patience: newPatience()}
}

// Close drops the kept connections.
func (e *Exchanger) Close() { e.caller.close() }

// Read makes a call that changes nothing. Without a whole answer the error is of KindUnavailable.
func (e *Exchanger) Read(ctx context.Context, method, target string) (status int, body []byte, err error) {
	return e.exchange(ctx, method, target, readsOnly, nil)
}

// ReadHeld is Read of an answer that the service holds back for up to hold.
func (e *Exchanger) ReadHeld(ctx context.Context, method, target string, hold time.Duration) (status int, body []byte, err error) {
	return e.within(ctx, hold, method, target, readsOnly, nil)
}

// Change makes a call that may change something. Without a whole answer the error is of KindUnavailable where nothing was
// sent, else of KindUnknownOutcome.
func (e *Exchanger) Change(ctx context.Context, method, target string, content []byte) (status int, body []byte, err error) {
	return e.exchange(ctx, method, target, changes, content)
}

func (e *Exchanger) exchange(ctx context.Context, method, target string, kind effect, content []byte) (int, []byte, error) {
	return e.within(ctx, 0, method, target, kind, content)
}

// within makes a call whose answer may be held back for hold.
func (e *Exchanger) within(ctx context.Context, hold time.Duration, method, target string, kind effect, content []byte) (status int, answer []byte, err error) {
	err = e.patience.call(ctx, hold, e.caller, func(ctx context.Context, came func()) error {
		status, answer, err = e.send(ctx, method, target, kind, content, came)
		return err
	})
	return status, answer, err
}

// send makes a call; came is called whenever some of the answer has come.
func (e *Exchanger) send(ctx context.Context, method, target string, kind effect, content []byte, came func()) (int, []byte, error) {
	answer, err := e.caller.send(ctx, e.address, method, target, kind, content)
	if err != nil {
		return 0, nil, err
	}
	defer closeBody(answer)
	came()
	body, err := io.ReadAll(io.LimitReader(&comingReader{answer.Body, came}, maxAnswerBody))
	if err != nil && kind == changes && answer.StatusCode == http.StatusOK {
		return 0, nil, KindUnknownOutcome.Wrap(err, "the answer of %s broke off", e.address)
	}
	if err != nil {
		return 0, nil, KindUnavailable.Wrap(err, "the answer of %s broke off", e.address)
	}
	return answer.StatusCode, body, nil
}

// comingReader calls came whenever it has read something.
type comingReader struct {
	io.Reader
	came func()
}

func (r *comingReader) Read(buffer []byte) (int, error) {
	count, err := r.Reader.Read(buffer)
	if count > 0 {
		r.came()
	}
	return count, err
}
