package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform/etcdjson"
)

const (
	// maxErrorBodyBytes bounds the bytes read of an error answer's body.
	maxErrorBodyBytes = 64 << 10
	// maxAnswerBodyBytes bounds the bytes read of an answer's body.
	maxAnswerBodyBytes = 64 << 20
)

// effect is whether a call may have side effects, which determines the error kind of a missing answer.
type effect bool

const (
	readsOnly effect = false
	changes   effect = true
)

// httpCaller makes HTTP JSON calls to one of several addresses of one service. It
// prefers the address that last answered with status 200.
type httpCaller struct {
	client    *http.Client
	addresses []netip.AddrPort
	preferred atomic.Uint32
}

func newHTTPCaller(dialer network.Network, addresses []netip.AddrPort) *httpCaller {
	return &httpCaller{
		addresses: addresses,
		client: &http.Client{
			Transport: network.HTTPTransport(dialer),
			// The services do not redirect, so a call must not reach an address that an answer names.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

func (c *httpCaller) close() { c.client.CloseIdleConnections() }

// post sends request as JSON and decodes the answer into response, unless that is nil.
func (c *httpCaller) post(ctx context.Context, path string, kind effect, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return KindRefused.Wrap(err, "encode request")
	}
	answer, err := c.open(ctx, http.MethodPost, path, kind, body)
	if err != nil {
		return err
	}
	return decodeAnswer(answer, kind, response)
}

// get requests path and decodes the answer into response.
func (c *httpCaller) get(ctx context.Context, path string, response any) error {
	answer, err := c.open(ctx, http.MethodGet, path, readsOnly, nil)
	if err != nil {
		return err
	}
	return decodeAnswer(answer, readsOnly, response)
}

// open sends a request to the addresses in turn and returns the first answer with
// status 200; the caller must close its body. The next address is tried only if the call certainly
// had no effect.
func (c *httpCaller) open(ctx context.Context, method, path string, kind effect, body []byte) (*http.Response, error) {
	if len(c.addresses) == 0 {
		return nil, KindUnavailable.New("no address is set for this service")
	}
	first := c.preferred.Load()
	var lastError error
	for offset := range uint32(len(c.addresses)) {
		index := (first + offset) % uint32(len(c.addresses))
		answer, err := c.openAt(ctx, c.addresses[index], method, path, kind, body)
		if err == nil {
			c.preferred.Store(index)
			return answer, nil
		}
		lastError = err
		if ctx.Err() != nil || !errorx.IsOfType(err, KindUnavailable) {
			break
		}
	}
	return nil, lastError
}

func (c *httpCaller) openAt(
	ctx context.Context, address netip.AddrPort, method, path string, kind effect, body []byte,
) (*http.Response, error) {
	answer, err := c.send(ctx, address, method, path, kind, body)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		defer closeBody(answer)
		return nil, answerError(answer, kind)
	}
	return answer, nil
}

// send makes one call and returns the answer, which has status 200 or an error status, and valid field names.
func (c *httpCaller) send(
	ctx context.Context, address netip.AddrPort, method, path string, kind effect, body []byte,
) (*http.Response, error) {
	// http.Transport retries a POST by itself only if it wrote nothing of it, and then requests
	// a connection again.
	var maybeSent atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { maybeSent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, KindRefused.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.client.Do(request)
	if err == nil {
		err = checkAnswerHead(answer)
	}
	if err != nil {
		if kind == changes && maybeSent.Load() {
			return nil, KindUnknownOutcome.Wrap(err, "no answer from %s", address)
		}
		return nil, KindUnavailable.Wrap(err, "no answer from %s", address)
	}
	return answer, nil
}

// checkAnswerHead closes answer and returns an error if its status or a field name is invalid. Such an answer shows neither that the call
// had an effect nor that it had none.
func checkAnswerHead(answer *http.Response) error {
	invalid := answer.StatusCode != http.StatusOK && answer.StatusCode < http.StatusBadRequest
	for name := range answer.Header {
		// net/http accepts names with blanks.
		invalid = invalid || !httpguts.ValidHeaderFieldName(name)
	}
	if !invalid {
		return nil
	}
	_ = answer.Body.Close()
	return fmt.Errorf("invalid head of an answer with status %d", answer.StatusCode)
}

// decodeAnswer decodes an answer of status 200. An incomplete one counts as missing.
func decodeAnswer(answer *http.Response, kind effect, response any) error {
	defer closeBody(answer)
	if response == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBodyBytes)).Decode(response); err != nil {
		if kind == changes {
			return KindUnknownOutcome.Wrap(err, "the answer of %s broke off", answer.Request.URL.Host)
		}
		return KindUnavailable.Wrap(err, "the answer of %s broke off", answer.Request.URL.Host)
	}
	return nil
}

// answerError converts an answer of another status than 200 to an error; its message begins with the address.
func answerError(answer *http.Response, kind effect) error {
	var body etcdjson.Error
	decodeError := json.NewDecoder(io.LimitReader(answer.Body, maxErrorBodyBytes)).Decode(&body)
	if decodeError != nil && !errors.Is(decodeError, io.EOF) {
		body.Message = answer.Status
	}
	address := answer.Request.URL.Host
	switch {
	case answer.StatusCode == http.StatusTooManyRequests || body.Code == etcdjson.CodeResourceExhausted:
		return KindRateLimited.New("%s: %s", address, body.Message)
	case body.Code == etcdjson.CodeOutOfRange:
		return KindCompacted.New("%s: %s", address, body.Message)
	case body.Code == etcdjson.CodeNotFound:
		return KindLeaseNotFound.New("%s: %s", address, body.Message)
	case answer.StatusCode < http.StatusInternalServerError:
		return KindRefused.New("%s: %s: %s", address, answer.Status, body.Message)
	case kind == changes && body.Message != etcdjson.MessageNoLeader:
		return KindUnknownOutcome.New("%s: %s: %s", address, answer.Status, body.Message)
	default:
		return KindUnavailable.New("%s: %s: %s", address, answer.Status, body.Message)
	}
}

// closeBody drains up to maxErrorBodyBytes of the body, so that the connection can be reused, and closes it.
func closeBody(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxErrorBodyBytes)
	_ = answer.Body.Close()
}
