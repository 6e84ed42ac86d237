//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const hostJobs = "jobs.example"

// batchRoute is the route of batch jobs of a small deployment.
func batchRoute(name, prefix, service string, attempts int) wire.RouteEntry {
	return wire.RouteEntry{
		Name: name, Host: hostJobs, Prefix: prefix, Type: "batch", Service: service, Attempts: attempts, TimeoutMs: 30000, ObjectiveMs: 400, GapMs: 250,
		Priority: 2, Resumable: true, CompletionMs: 20000, RetentionS: 60, MaxQueued: 1_600_000,
	}
}

// job is a batch job as its client sent it.
type job struct {
	id    string
	path  string
	items []wire.JobItem
	works []work
}

func newJob(id, path string, works ...work) *job {
	created := &job{id: id, path: path, works: works}
	for number, payload := range works {
		body, _ := json.Marshal(payload)
		created.items = append(created.items, wire.JobItem{
			ID: fmt.Sprintf("%s-i%d", id, number), Path: path + "items/" + payload.Mark, Body: body, Tokens: int64(10 * payload.Events),
		})
	}
	return created
}

// call makes one call about a job at an edge, on a new connection.
func (d *deployment) call(ctx context.Context, edge *machine, method, path, id string, body []byte) (int, []byte, error) {
	bounded, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, method, "http://"+edge.at(portCallers)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = hostJobs
	request.Header.Set("X-Sloelift-Request-Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		d.record.note("client: %s %s at %s: %v", method, path, edge.name, err)
		return 0, nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	d.record.note("client: %s %s at %s: status %d, %d bytes, error %v", method, path, edge.name, answer.StatusCode, len(content), err)
	return answer.StatusCode, content, err
}

// submit sends a job until it gets a 202 or ctx ends.
func (d *deployment) submit(ctx context.Context, edge *machine, sent *job) error {
	body, err := json.Marshal(wire.JobBody{Items: sent.items})
	if err != nil {
		return err
	}
	for {
		status, _, err := d.call(ctx, edge, http.MethodPost, sent.path+sent.id, sent.id, body)
		if err == nil && status == http.StatusAccepted {
			return nil
		}
		if !sleep(ctx, 200*time.Millisecond) {
			return fmt.Errorf("job %s got no 202", sent.id)
		}
	}
}

// read returns the results of a job once all its items are listed, or those so far when ctx ends.
func (d *deployment) read(ctx context.Context, edge *machine, sent *job) []wire.JobResult {
	var results []wire.JobResult
	for {
		status, content, err := d.call(ctx, edge, http.MethodGet, fmt.Sprintf("%s%s?%s=%d", wire.PathLots, sent.id, wire.QueryFrom, len(results)), sent.id, nil)
		var answer wire.JobResults
		if err == nil && status == http.StatusOK && json.Unmarshal(content, &answer) == nil {
			results = append(results, answer.Results...)
		}
		if len(results) >= len(sent.items) || !sleep(ctx, 500*time.Millisecond) {
			return results
		}
	}
}

// textOf returns the whole output of the item with the given id.
func (j *job) textOf(itemID string) string {
	for number, item := range j.items {
		if item.ID == itemID {
			return j.works[number].text()
		}
	}
	return ""
}
