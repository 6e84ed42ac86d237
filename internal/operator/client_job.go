package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/sloelift/sloelift/internal/outcome"
)

// SubmitJob submits a job with a stream of JSONL items. It returns once they are durable.
func (c *Client) SubmitJob(ctx context.Context, request JobRequest, items io.Reader) (JobView, error) {
	var view JobView
	err := c.call(ctx, http.MethodPost, pathJobs, request.query(), items, &view)
	return view, err
}

// Job returns the status of one job.
func (c *Client) Job(ctx context.Context, tenant, id string) (JobView, error) {
	var view JobView
	err := c.call(ctx, http.MethodGet, jobPath(id), tenantQuery(tenant), nil, &view)
	return view, err
}

// Jobs lists the jobs of a tenant after the given ID. Limit 0 means the default limit of
// the node.
func (c *Client) Jobs(ctx context.Context, tenant, after string, limit int) (JobList, error) {
	query := tenantQuery(tenant)
	if after != "" {
		query.Set(queryAfter, after)
	}
	if limit > 0 {
		query.Set(queryLimit, strconv.Itoa(limit))
	}
	var list JobList
	err := c.call(ctx, http.MethodGet, pathJobs, query, nil, &list)
	return list, err
}

// CancelJob cancels a job. It returns once the cancel is durable.
func (c *Client) CancelJob(ctx context.Context, tenant, id string) (JobView, error) {
	var view JobView
	err := c.call(ctx, http.MethodPost, jobPath(id)+"/cancel", tenantQuery(tenant), nil, &view)
	return view, err
}

// JobResults copies the results from the given index on, as JSON lines, and returns
// their number. An incomplete stream is an error.
func (c *Client) JobResults(ctx context.Context, tenant, id string, from int, to io.Writer) (count int, err error) {
	query := tenantQuery(tenant)
	query.Set(queryFrom, strconv.Itoa(from))
	response, err := c.send(ctx, http.MethodGet, jobPath(id)+"/results", query, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(to, response.Body); err != nil {
		return 0, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the results were cut")
	}
	count, err = strconv.Atoi(response.Trailer.Get(trailerResultCount))
	if err != nil {
		return 0, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the results were cut; read them again from the index behind the last one")
	}
	return count, nil
}

func jobPath(id string) string { return fmt.Sprintf("%s/%s", pathJobs, url.PathEscape(id)) }

func tenantQuery(tenant string) url.Values { return url.Values{queryTenant: {tenant}} }
