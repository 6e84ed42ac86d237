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
	// submitWithin is how long a caller tries to hand a job in, pauseOfReads the time between its reads.
	submitWithin = 20 * time.Second
	pauseOfReads = 500 * time.Millisecond
	callWithin   = 3 * time.Second
	// itemsOfJob is the largest number of items of a job, eventsOfItem the most events of one, itemPadding makes a body as long as real ones.
	itemsOfJob   = 14
	eventsOfItem = 45
	itemPadding  = 30 << 10
	// failing500 and failing422 are the shares of items that fail so at each run, ending the share of jobs that are ended by their callers.
	failing500 = 0.06
	failing422 = 0.04
	ending     = 0.1
)

// item is one item as its caller knows it.
type item struct {
	id   string
	work work
}

// job is one batch job as its caller knows it.
type job struct {
	id    string
	items []item
	// accepted says that a 202 came, refusedOnly that only refusals came.
	accepted, refusedOnly bool
	ended                 bool
	// results are those read so far, in order; fault is what was wrong with them.
	results []wire.JobResult
	fault   string
}

func (j *job) done() bool { return j.ended || len(j.unlisted()) == 0 }

// unlisted returns the items that are to be listed and are not: one that ends its replicas is kept from them, and is not given up before its route's retention.
func (j *job) unlisted() []item {
	listed := map[string]bool{}
	for _, result := range j.results {
		listed[result.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(j.items), func(each item) bool { return listed[each.id] || each.work.EndsReplicaAt > 0 })
}

// newJob draws a job of items with up to mostEvents events, of which a share ends its replicas.
func newJob(random *rand.Rand, mostEvents int, ends float64) *job {
	made := &job{id: newID(random), refusedOnly: true}
	for range 2 + random.IntN(itemsOfJob-1) {
		each := item{id: newID(random), work: work{Events: 10 + random.IntN(mostEvents-9), Mark: newID(random), Padding: strings.Repeat("p", itemPadding)}}
		switch drawn := random.Float64(); {
		case drawn < failing500:
			each.work.Fail = http.StatusInternalServerError
		case drawn < failing500+failing422:
			each.work.Fail = http.StatusUnprocessableEntity
		case drawn > 1-ends:
			each.work.EndsReplicaAt = 1 + random.IntN(each.work.Events)
		}
		made.items = append(made.items, each)
	}
	return made
}

func (j *job) body() []byte {
	var body wire.JobBody
	for _, each := range j.items {
		body.Items = append(body.Items, wire.JobItem{ID: each.id, Path: itemsPath + each.id, Body: each.work.encode(), Tokens: int64(20 * each.work.Events)})
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic("encode a job: " + err.Error())
	}
	return encoded
}

// submit hands a job in, reads its results until ctx ends, and ends some.
func (c *callers) submit(ctx context.Context) {
	submitted := draw(c, func(random *rand.Rand) *job {
		return newJob(random, cmp.Or(c.fleet.options.ItemEvents, eventsOfItem), c.fleet.options.EndingItems)
	})
	ends := draw(c, func(random *rand.Rand) bool { return random.Float64() < ending })
	c.note(func() { c.jobs = append(c.jobs, submitted) })
	body := submitted.body()
	for began := time.Now(); ctx.Err() == nil && !submitted.accepted && time.Since(began) < submitWithin; {
		status, _, err := c.call(ctx, http.MethodPost, pathJobs+submitted.id, submitted.id, body)
		switch {
		case err == nil && status == http.StatusAccepted:
			submitted.accepted, submitted.refusedOnly = true, false
		case err != nil || !promises(status):
			submitted.refusedOnly = false
		}
		if !submitted.accepted {
			pause.Sleep(ctx, pauseOfReads)
		}
	}
	for reads := 0; ctx.Err() == nil && submitted.accepted && !submitted.done(); reads++ {
		pause.Sleep(ctx, pauseOfReads)
		if ends && reads == 2 {
			// An end whose answer was lost may have been done all the same: nothing more has to be listed once it was sent.
			submitted.ended = true
			_, _, _ = c.call(ctx, http.MethodDelete, wire.PathLots+submitted.id, submitted.id, nil)
			continue
		}
		c.read(ctx, submitted, len(submitted.results))
	}
}

// read reads a job's results from a position on and checks those that were read before.
func (c *callers) read(ctx context.Context, of *job, since int) {
	status, content, err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s%s?%s=%d", wire.PathLots, of.id, wire.QueryFrom, since), of.id, nil)
	if err != nil || status != http.StatusOK {
		return
	}
	var answer wire.JobResults
	if err := json.Unmarshal(content, &answer); err != nil {
		of.fault = "results cannot be decoded: " + err.Error()
		return
	}
	if int(answer.Total) != len(of.items) {
		of.fault = fmt.Sprintf("total is %d of %d", answer.Total, len(of.items))
	}
	for index, each := range answer.Results {
		position := since + index
		if position < len(of.results) {
			if of.results[position] != each {
				of.fault = fmt.Sprintf("position %d holds another result than before", position)
			}
			continue
		}
		of.results = append(of.results, each)
	}
}

// call makes one call about a job on a connection of its own, at an edge that is drawn.
func (c *callers) call(ctx context.Context, method, path, id string, body []byte) (status int, content []byte, err error) {
	edge := draw(c, c.fleet.ready.pick)
	bounded, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, method, "http://"+edge.at(portCallers).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostJobs
	request.Header.Set(wire.Headers.RequestID, id)
	answer, err := c.fresh.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	content, err = io.ReadAll(answer.Body)
	return answer.StatusCode, content, err
}

// finishJobs reads all accepted jobs until they are done or ctx ends, then each once more from its start.
func (c *callers) finishJobs(ctx context.Context) {
	for ctx.Err() == nil {
		open := false
		for _, each := range c.jobs {
			if each.accepted && !each.done() {
				c.read(ctx, each, len(each.results))
				open = true
			}
		}
		if !open {
			break
		}
		pause.Sleep(ctx, pauseOfReads/2)
	}
	for _, each := range c.jobs {
		if each.accepted && ctx.Err() == nil {
			c.read(ctx, each, 0)
		}
	}
}
