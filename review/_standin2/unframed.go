package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const (
	// singleJobs jobs of one item are sent, one each jobPause; the site has 1.25 jobs of 8 items a second.
	singleJobs = 24
	jobPause   = 200 * time.Millisecond
	// untilJudged is the time from the last job to the judgement: more than completion_target_ms and completion_s.
	untilJudged = 48 * time.Second
	// By the rule an item is lost if no replica had it for calmTime, and no item of any job was finished in finishedTime.
	calmTime     = 5 * time.Second
	finishedTime = 3 * time.Second
	readInterval = time.Second
	// retentionSeconds is retention_s of the site; the judgement comes before it is over.
	retentionSeconds = 60
)

// unframed plays: the replicas' answers have neither a length nor chunks, and end with their connections.
func unframed(program, template, folder string, written *record, trouble bool) (int, error) {
	deployed, err := newFleet(program, template, folder, 3, 2, written)
	if err != nil {
		return couldNot, err
	}
	defer deployed.close()
	declared := configuration()
	declared.Routes[0].RetentionS = retentionSeconds
	declared.Routes = append(declared.Routes, wire.RouteEntry{
		Name: "checks", Host: host, Prefix: "/checks/", Type: "streaming", Service: service, Attempts: 2, TimeoutMs: 5000, ObjectiveMs: 200, GapMs: 250,
	})
	if err := deployed.configure(declared); err != nil {
		return couldNot, err
	}
	for number := range 12 {
		added, err := startReplica(fmt.Sprintf("r-%d", number), fmt.Sprintf("zone-%d", number%3+1), 17, 4*time.Millisecond, written)
		if err == nil {
			added.unframed = trouble
			err = deployed.register(added)
		}
		if err != nil {
			return couldNot, err
		}
	}
	for _, each := range deployed.machines() {
		if err := deployed.start(each); err != nil {
			return couldNot, err
		}
	}
	if err := deployed.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	if err := deployed.checkOnline(); err != nil {
		return couldNot, err
	}
	var jobs []*job
	for number := range singleJobs {
		made := newJob(fmt.Sprintf("job-%d", number), host, pathPrefix+"x")
		made.body.Items = made.body.Items[:1]
		written.note("job %s answered %d", made.id, made.submit(deployed.edges[number%2].address(8161), pathPrefix+"x"))
		if made.accepted {
			jobs = append(jobs, made)
		}
		time.Sleep(jobPause)
	}
	if len(jobs) == 0 {
		return couldNot, fmt.Errorf("no job was accepted")
	}
	var lastListed time.Time
	for end := time.Now().Add(untilJudged); time.Now().Before(end); time.Sleep(readInterval) {
		if deployed.readOpen(jobs) > 0 {
			lastListed = time.Now()
		}
	}
	return deployed.judgeLost(jobs, lastListed), nil
}

// checkOnline sends one online request, which has to be answered whole by the same replicas.
func (f *fleet) checkOnline() error {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.edges[0].address(8161)+"/checks/x", nil)
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set(wire.Headers.RequestID, "online-0")
	request.Header.Set("X-Sloelift-Token-Usage", "10,12")
	response, err := callers.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	f.record.note("online request answered %d with %d bytes, error %v", response.StatusCode, len(content), err)
	return err
}

// readOpen reads the jobs that are not complete, and returns how many items are listed anew.
func (f *fleet) readOpen(jobs []*job) int {
	listed := 0
	for number, each := range jobs {
		before := len(each.results)
		if before < len(each.body.Items) {
			each.read(f.edges[number%len(f.edges)].address(8161))
			listed += len(each.results) - before
		}
	}
	return listed
}

// judgeLost judges by the rule LOST as it is written for the end of completion_s.
func (f *fleet) judgeLost(jobs []*job, lastListed time.Time) int {
	lost, open := 0, 0
	for _, each := range jobs {
		item := each.body.Items[0].ID
		if result, listed := each.results[item]; listed {
			if result.State != "succeeded" || result.Text != wholeText(item, eventsPerItem) {
				f.record.note("item %s is listed as %s with %d bytes", item, result.State, len(result.Text))
			}
			continue
		}
		open++
		idle, whole := f.record.idleFor(item)
		f.record.note("item %s is not listed; replicas answered it whole %d times, none has had it for %s", item, whole, idle.Round(time.Millisecond))
		if idle >= calmTime && time.Since(lastListed) >= finishedTime {
			lost++
		}
	}
	f.record.note("%d jobs, %d open, %d lost by the rule", len(jobs), open, lost)
	if lost > 0 {
		return broken
	}
	return held
}
