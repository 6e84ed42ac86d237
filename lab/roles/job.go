package roles

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// submitTimeout is how long a caller retries a job's submission; jobPollInterval is the delay between submissions and between reads of
	// results; callTimeout is the timeout of each call.
	submitTimeout   = 20 * time.Second
	jobPollInterval = 500 * time.Millisecond
	callTimeout     = 3 * time.Second
	// maxItemsPerJob is the maximum number of items of a job, defaultMaxItemEvents the default maximum number of events of an item, and itemPaddingBytes
	// the number of bytes that make an item's body as long as real ones.
	maxItemsPerJob       = 14
	defaultMaxItemEvents = 45
	itemPaddingBytes     = 30 << 10
	// share500 and share422 are the shares of items that fail with that status in every run; cancelShare is the share of jobs that their
	// callers cancel.
	share500    = 0.06
	share422    = 0.04
	cancelShare = 0.1
)

// item is one item of a batch job.
type item struct {
	id   string
	work work
}

// job is one batch job and what its caller saw of it.
type job struct {
	id    string
	items []item
	// accepted is set after a 202; refusedOnly is set while every response was a refusal that guarantees that the job does not run.
	accepted, refusedOnly bool
	// cancelled is set once the caller has sent a cancel.
	cancelled bool
	// results are the results read so far, in order; violation describes what was wrong with them.
	results   []wire.JobResult
	violation string
}

func (j *job) done() bool { return j.cancelled || len(j.missingItems()) == 0 }

// missingItems returns the items whose results are still missing. Items that end their replicas are left out: they are quarantined and get
// no result before the retention of their route is over.
func (j *job) missingItems() []item {
	listed := map[string]bool{}
	for _, result := range j.results {
		listed[result.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(j.items), func(candidate item) bool {
		return listed[candidate.id] || candidate.work.EndsReplicaAt > 0
	})
}

// newJob draws a job whose items have 10 to maxEvents events; endsReplicaShare is the share of items that end their replicas.
func newJob(random *rand.Rand, maxEvents int, endsReplicaShare float64) *job {
	created := &job{id: newID(random), refusedOnly: true}
	for range 2 + random.IntN(maxItemsPerJob-1) {
		next := item{
			id:   newID(random),
			work: work{Events: 10 + random.IntN(maxEvents-9), Mark: newID(random), Padding: strings.Repeat("p", itemPaddingBytes)},
		}
		switch drawn := random.Float64(); {
		case drawn < share500:
			next.work.Fail = http.StatusInternalServerError
		case drawn < share500+share422:
			next.work.Fail = http.StatusUnprocessableEntity
		case drawn > 1-endsReplicaShare:
			next.work.EndsReplicaAt = 1 + random.IntN(next.work.Events)
		}
		created.items = append(created.items, next)
	}
	return created
}

func (j *job) body() []byte {
	var body wire.JobBody
	for _, item := range j.items {
		body.Items = append(body.Items, wire.JobItem{
			ID: item.id, Path: itemsPath + item.id, Body: item.work.encode(), Tokens: int64(20 * item.work.Events),
		})
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("encode job: " + err.Error())
	}
	return encoded
}

// submit submits a random job and reads its results until it is done or ctx ends; it cancels a share of the jobs.
func (c *callers) submit(ctx context.Context) {
	submitted := draw(c, func(random *rand.Rand) *job {
		return newJob(random, cmp.Or(c.fleet.options.ItemEvents, defaultMaxItemEvents), c.fleet.options.EndingItems)
	})
	cancels := draw(c, func(random *rand.Rand) bool { return random.Float64() < cancelShare })
	c.update(func() { c.jobs = append(c.jobs, submitted) })
	body := submitted.body()
	for began := time.Now(); ctx.Err() == nil && !submitted.accepted && time.Since(began) < submitTimeout; {
		status, _, err := c.call(ctx, http.MethodPost, pathJobs+submitted.id, submitted.id, body)
		switch {
		case err == nil && status == http.StatusAccepted:
			submitted.accepted, submitted.refusedOnly = true, false
		case err != nil || !guaranteesNotRun(status):
			submitted.refusedOnly = false
		}
		if !submitted.accepted {
			pause.Sleep(ctx, jobPollInterval)
		}
	}
	for reads := 0; ctx.Err() == nil && submitted.accepted && !submitted.done(); reads++ {
		pause.Sleep(ctx, jobPollInterval)
		if cancels && reads == 2 {
			// A cancel may take effect even if its response is lost, so no further results are expected once it was sent.
			submitted.cancelled = true
			_, _, _ = c.call(ctx, http.MethodDelete, wire.PathLots+submitted.id, submitted.id, nil)
			continue
		}
		c.read(ctx, submitted, len(submitted.results))
	}
}

// read reads a job's results from position since on and checks that results read before are unchanged.
func (c *callers) read(ctx context.Context, target *job, since int) {
	status, content, err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s%s?%s=%d", wire.PathLots, target.id, wire.QueryFrom, since), target.id, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var answer wire.JobResults
	if err := json.Unmarshal(content, &answer); err != nil {
		target.violation = "results cannot be decoded: " + err.Error()
		return
	}
	if int(answer.Total) != len(target.items) {
		target.violation = fmt.Sprintf("total is %d of %d", answer.Total, len(target.items))
	}
	for index, result := range answer.Results {
		position := since + index
		if position < len(target.results) {
			if target.results[position] != result {
				target.violation = fmt.Sprintf("position %d holds another result than before", position)
			}
			continue
		}
		target.results = append(target.results, result)
	}
}

// call sends one request about a job to a random edge on a new connection.
func (c *callers) call(ctx context.Context, method, path, id string, body []byte) (status int, content []byte, err error) {
	edge := draw(c, c.fleet.ready.pick)
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, method, "http://"+edge.address(portCallers).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostJobs
	request.Header.Set(wire.Headers.RequestID, id)
	response, err := c.fresh.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// finishJobs reads the results of all accepted jobs until they are done or ctx ends, then reads each job once more from its first result.
func (c *callers) finishJobs(ctx context.Context) {
	for ctx.Err() == nil {
		open := false
		for _, job := range c.jobs {
			if job.accepted && !job.done() {
				c.read(ctx, job, len(job.results))
				open = true
			}
		}
		if !open {
			break
		}
		pause.Sleep(ctx, jobPollInterval/2)
	}
	for _, job := range c.jobs {
		if job.accepted && ctx.Err() == nil {
			c.read(ctx, job, 0)
		}
	}
}
