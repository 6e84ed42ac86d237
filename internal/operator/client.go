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

// Client calls the admin interface of one node. Errors are those of the node:
// *config.ValidationError, *config.ConflictError, *config.InUseError,
// *RunningJobsError, otherwise *outcome.Error. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// responseTimeout limits the wait for the response header once the request has been sent.
const responseTimeout = time.Minute

// NewClient returns a client of the node with the given admin address.
func NewClient(admin netip.AddrPort, nodeNetwork network.Network) *Client {
	transport := network.HTTPTransport(nodeNetwork)
	transport.ResponseHeaderTimeout = responseTimeout
	return &Client{base: "http://" + admin.String(), http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Apply applies a file; expectRevision may be config.AnyRevision.
func (c *Client) Apply(ctx context.Context, file []byte, expectRevision int64) (config.ApplyResult, error) {
	var result config.ApplyResult
	err := c.call(ctx, http.MethodPost, pathApply, expectQuery(expectRevision), bytes.NewReader(file), &result)
	return result, err
}

// Diff returns what Apply would change.
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

// Uses returns what depends on a declaration.
func (c *Client) Uses(ctx context.Context, id config.ID) (Uses, error) {
	var uses Uses
	err := c.call(ctx, http.MethodGet, objectPath(id)+"/uses", nil, nil, &uses)
	return uses, err
}

// Withdraw removes a declaration. With force, it does so even if running jobs need it.
func (c *Client) Withdraw(ctx context.Context, id config.ID, expectRevision int64, force bool) (config.ApplyResult, error) {
	query := expectQuery(expectRevision)
	if force {
		query.Set(queryForce, strconv.FormatBool(true))
	}
	var result config.ApplyResult
	err := c.call(ctx, http.MethodDelete, objectPath(id), query, nil, &result)
	return result, err
}

// Rollout returns how far a revision is in force on the members.
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

// call sends one request and decodes the JSON response into result.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body io.Reader, result any) error {
	response, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return outcome.Wrap(err, lostResponseOutcome(method), outcome.ReasonUnavailable, "the answer did not arrive whole")
	}
	return nil
}

// send sends one request. A response with a status other than 200 becomes an error.
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

// sendOutcome returns the outcome of a request without a response: NotRun if no
// connection was established, else that of lostResponseOutcome.
func sendOutcome(method string, err error) outcome.Outcome {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return outcome.NotRun
	}
	return lostResponseOutcome(method)
}

// lostResponseOutcome returns the outcome of a request whose response was lost: only a
// GET surely changed nothing.
func lostResponseOutcome(method string) outcome.Outcome {
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
