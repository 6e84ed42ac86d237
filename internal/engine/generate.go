package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

// Header names of the engine protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Request-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderAttachOnly   = "X-Attach-Only"
	HeaderNotRun       = "X-Not-Run"
)

// Generate implements Client.
func (c *HTTPClient) Generate(ctx context.Context, to Endpoint, request Request) (Stream, error) {
	body, err := generationBody(request)
	if err != nil {
		return nil, KindInvalid.Wrap(err, "request body")
	}
	streamContext, cancelStream := context.WithCancelCause(ctx)
	detector := c.detectSilence(streamContext, cancelStream, to, request)
	cancel := func() {
		detector.stop()
		cancelStream(nil)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(streamContext, &httptrace.ClientTrace{
		// The transport requests a connection again for each retry of its own. It retries only if
		// no part of the request was written.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(traced, http.MethodPost, url(to, string(request.Operation)), bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, KindNotSent.Wrap(err, "build request")
	}
	setGenerationHeaders(httpRequest.Header, request)
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		defer cancel()
		if !connected.Load() {
			return nil, KindNotSent.Wrap(err, "connect to %s", to.Replica)
		}
		return nil, KindLost.Wrap(errors.Join(err, context.Cause(streamContext)), "no answer from %s", to.Replica)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(response, to, request.AttachOnly)
	}
	if id := response.Header.Get(HeaderRequestID); id != "" && id != request.ID {
		closeBody(response.Body)
		cancel()
		return nil, KindLost.New("%s answered request %s in place of %s", to.Replica, id, request.ID)
	}
	return newEventStream(response.Body, cancel, detector.progress, request.ID, request.Offset), nil
}

func setGenerationHeaders(header http.Header, request Request) {
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(HeaderRequestID, request.ID)
	header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	if request.Offset > 0 {
		header.Set(HeaderResumeOffset, strconv.Itoa(request.Offset))
	}
	if request.AttachOnly {
		header.Set(HeaderAttachOnly, "true")
	}
}

// statusError returns the error for an answer with a status other than 200. Its kind determines
// whether the request may have run.
func statusError(response *http.Response, to Endpoint, attachOnly bool) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	closeBody(response.Body)
	notRun := response.Header.Get(HeaderNotRun) == "true"
	return generationErrorKind(response.StatusCode, notRun, attachOnly).
		New("%s answered %d: %s", to.Replica, response.StatusCode, strings.TrimSpace(string(text)))
}

// generationErrorKind returns the error kind for the status of an answer to a generation.
func generationErrorKind(status int, notRun, attachOnly bool) *errorx.Type {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return KindInvalid
	case http.StatusNotFound:
		if attachOnly {
			return KindNoSuchRun
		}
	}
	if notRun {
		return KindRefused
	}
	return KindLost
}

// closeBody reads a small remainder of the body before closing it, so that the connection can be
// reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBodyBytes)
	_ = body.Close()
}
