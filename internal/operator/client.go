package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/outcome"
)

// Client calls the admin interface of one node. Errors are those that the node had:
// *config.ValidationError, *config.ConflictError, *config.InUseError,
// *RunningJobsError, else *outcome.Error. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// answerTimeout bounds the wait for an answer once the request has been sent.
const answerTimeout = time.Minute

// NewClient returns a client of the node with the given admin address.
func NewClient(admin netip.AddrPort, through network.Network) *Client {
	transport := network.HTTPTransport(through)
	transport.ResponseHeaderTimeout = answerTimeout
	return &Client{base: "http://" + admin.String(), http: &http.Client{Transport: transport}}
}

// Close gives up idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply applies a file; expectRevision may be config.AnyRevision.
func (c *Client) Apply(ctx context.Context, file []byte, expectRevision int64) (config.ApplyResult, error) {
	var result config.ApplyResult
	err := c.call(ctx, http.MethodPost, pathApply, expectQuery(expectRevision), bytes.NewReader(file), &result)
	return result, err
}

// Diff tells what Apply would change.
func (c *Client) Diff(ctx context.Context, file []byte) (config.ApplyResult, error) {
	var result config.ApplyResult
	err := c.call(ctx, http.MethodPost, pathDiff, nil, bytes.NewReader(file), &result)
	return result, err
}

// Config reads the whole configuration.
func (c *Client) Config(ctx context.Context) (Configuration, error) {
	var configuration Configuration
	err := c.call(ctx, http.MethodGet, pathConfig, nil, nil, &configuration)
	return configuration, err
}

// Uses tells what runs on a declaration.
func (c *Client) Uses(ctx context.Context, id config.ID) (Uses, error) {
	var uses Uses
	err := c.call(ctx, http.MethodGet, objectPath(id)+"/uses", nil, nil, &uses)
	return uses, err
}

// Withdraw removes a declaration. With force it does so under running jobs.
func (c *Client) Withdraw(ctx context.Context, id config.ID, expectRevision int64, force bool) (config.ApplyResult, error) {
	query := expectQuery(expectRevision)
	if force {
		query.Set(queryForce, strconv.FormatBool(true))
	}
	var result config.ApplyResult
	err := c.call(ctx, http.MethodDelete, objectPath(id), query, nil, &result)
	return result, err
}

// Rollout tells where a revision is in force.
func (c *Client) Rollout(ctx context.Context, revision int64) (Rollout, error) {
	var rollout Rollout
	query := url.Values{queryRevision: {strconv.FormatInt(revision, 10)}}
	err := c.call(ctx, http.MethodGet, pathRollout, query, nil, &rollout)
	return rollout, err
}

// Status reads the node's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, pathStatus, nil, nil, &status)
	return status, err
}

func expectQuery(revision int64) url.Values {
	query := url.Values{}
	if revision != config.AnyRevision {
		query.Set(queryExpectRevision, strconv.FormatInt(revision, 10))
	}
	return query
}

func objectPath(id config.ID) string {
	return pathConfig + "/" + url.PathEscape(string(id.Kind)) + "/" + url.PathEscape(id.Name)
}

// call makes one request and decodes its JSON answer into result.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body io.Reader, result any) error {
	response, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return outcome.Wrap(err, unfinishedOutcome(method), outcome.ReasonUnavailable, "the answer did not arrive whole")
	}
	return nil
}

// send makes one request; an answer that is no success becomes an error.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "build the request")
	}
	request.URL.RawQuery = query.Encode()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, outcome.Wrap(err, sendOutcome(method, err), outcome.ReasonUnavailable, "node "+request.URL.Host+" does not answer")
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeError(response)
}

// sendOutcome tells whether a request without an answer may have run.
func sendOutcome(method string, err error) outcome.Outcome {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return outcome.NotRun
	}
	return unfinishedOutcome(method)
}

func unfinishedOutcome(method string) outcome.Outcome {
	if method == http.MethodGet {
		return outcome.NotRun
	}
	return outcome.Indeterminate
}

const maxErrorBytes = 1 << 20

func decodeError(response *http.Response) error {
	var body ErrorBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err != nil || body.Error.Code == "" {
		return outcome.New(outcome.Indeterminate, outcome.ReasonInternal, fmt.Sprintf("the node answered %s without a reason", response.Status))
	}
	return body.Error.toError()
}
