package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
)

// runState is the state of a run as reported by its engine.
type runState struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Offset int    `json:"offset"`
}

const stateFinished = "finished"

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, to Endpoint, requestID string) (CancelResult, error) {
	body, err := c.control(ctx, to, http.MethodDelete, "/v1/requests/"+requestID, nil, maxControlBytes)
	if errorx.IsOfType(err, KindNoSuchRun) {
		return CancelResult{}, nil
	}
	if err != nil {
		return CancelResult{}, err
	}
	var state runState
	if err := json.Unmarshal(body, &state); err != nil {
		return CancelResult{}, KindLost.Wrap(err, "decode the cancel answer of %s", to.Replica)
	}
	return CancelResult{Found: true, Finished: state.State == stateFinished, Offset: state.Offset}, nil
}

// Load implements Client.
func (c *HTTPClient) Load(ctx context.Context, to Endpoint) (LoadReport, error) {
	var report LoadReport
	err := c.controlJSON(ctx, to, "/load", &report)
	return report, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, to Endpoint, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.controlJSON(ctx, to, "/cache/events?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, to Endpoint, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return KindInvalid.Wrap(err, "order")
	}
	_, err = c.control(ctx, to, http.MethodPost, "/orders", body, maxControlBytes)
	return err
}

// ExportCache implements Client.
func (c *HTTPClient) ExportCache(ctx context.Context, to Endpoint, requestID string) ([]byte, error) {
	return c.control(ctx, to, http.MethodGet, "/kv/"+requestID, nil, maxCacheBytes)
}

// ImportCache implements Client.
func (c *HTTPClient) ImportCache(ctx context.Context, to Endpoint, cache []byte) error {
	_, err := c.control(ctx, to, http.MethodPost, "/kv", cache, maxControlBytes)
	return err
}

// controlJSON makes a GET call and decodes its JSON answer.
func (c *HTTPClient) controlJSON(ctx context.Context, to Endpoint, path string, into any) error {
	body, err := c.control(ctx, to, http.MethodGet, path, nil, maxControlBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return KindLost.Wrap(err, "decode the answer of %s to %s", to.Replica, path)
	}
	return nil
}

// control makes one call other than a generation, within controlTimeout and with an answer of at
// most limit bytes.
func (c *HTTPClient) control(ctx context.Context, to Endpoint, method, path string, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url(to, path), bytes.NewReader(body))
	if err != nil {
		return nil, KindInvalid.Wrap(err, "build request")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, KindLost.Wrap(err, "%s %s of %s", method, path, to.Replica)
	}
	defer closeBody(response.Body)
	answer, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, KindLost.Wrap(err, "read the answer of %s", to.Replica)
	}
	if int64(len(answer)) > limit {
		return nil, KindLost.New("answer of %s is longer than %d bytes", to.Replica, limit)
	}
	if response.StatusCode/100 != 2 {
		return nil, controlErrorKind(response.StatusCode).New("%s answered %d to %s", to.Replica, response.StatusCode, path)
	}
	return answer, nil
}

// controlErrorKind returns the error kind for the status of an answer to a control call.
func controlErrorKind(status int) *errorx.Type {
	switch status {
	case http.StatusConflict:
		return KindFenced
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return KindRefused
	case http.StatusNotFound:
		return KindNoSuchRun
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return KindInvalid
	default:
		return KindLost
	}
}
