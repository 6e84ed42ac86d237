package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const (
	host       = "h.example"
	pathPrefix = "/drafts/"
	// jobCount jobs of itemsPerJob items with bodies of bodyBytes, as of scanned pages; their tokens stay within maxQueued.
	jobCount      = 40
	itemsPerJob   = 20
	bodyBytes     = 100_000
	tokensPerItem = 1_900
	sharedTokens  = 576
	eventsPerItem = 120
	maxQueued     = 1_600_000
	// syncTime is bounds.sync_s, after which a new machine counts; recoveryTime is bounds.recovery_s.
	syncTime     = 4800 * time.Millisecond
	recoveryTime = 12 * time.Second
	// lossDelay is how long after the request to empty one store the other one's disk is lost.
	lossDelay = 150 * time.Millisecond
	// downTime is how long that machine is down.
	downTime = time.Second
	// readWithin is how long after the recovery time each accepted job may take to be read; retryPause is the time between two tries.
	readWithin = 15 * time.Second
	retryPause = 500 * time.Millisecond
)

func configuration() wire.ConfigurationEntry {
	return wire.ConfigurationEntry{
		Version: 1,
		Routes: []wire.RouteEntry{{
			Name: "drafts", Host: host, Prefix: pathPrefix, Type: "batch", Service: service, Attempts: 3, TimeoutMs: 30000, ObjectiveMs: 400,
			CompletionMs: 20000, RetentionS: 3600, Priority: 2, MaxQueued: maxQueued,
		}},
		Services: []wire.ServiceEntry{{Name: service, HealthPath: "/healthz", MaxConns: 370}},
		Limits:   wire.LimitsEntry{MaxHeaderBytes: 16384, MaxBodyBytes: 8 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 30000},
	}
}

// emptied plays: a store machine is asked to be emptied onto a new one, and while its records are copied another machine loses its disk.
func emptied(program, template, folder string, written *record, trouble bool) (int, error) {
	deployed, err := newFleet(program, template, folder, 4, 2, written)
	if err != nil {
		return couldNot, err
	}
	defer deployed.close()
	if err := deployed.configure(configuration()); err != nil {
		return couldNot, err
	}
	for number := range 4 {
		added, err := startReplica(fmt.Sprintf("r-%d", number), fmt.Sprintf("zone-%d", number%3+1), 17, 4*time.Millisecond, written)
		if err == nil {
			err = deployed.register(added)
		}
		if err != nil {
			return couldNot, err
		}
	}
	spare := deployed.storage[3]
	for _, each := range deployed.machines() {
		if each == spare {
			continue
		}
		if err := deployed.start(each); err != nil {
			return couldNot, err
		}
	}
	if err := deployed.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	if err := deployed.start(spare); err != nil {
		return couldNot, err
	}
	time.Sleep(time.Second)
	jobs := deployed.submitJobs()
	if len(jobs) == 0 {
		return couldNot, fmt.Errorf("no job was accepted")
	}
	time.Sleep(syncTime)
	if unread := deployed.checkJobs("before", jobs); unread > 0 {
		return couldNot, fmt.Errorf("%d jobs can't be read before the disruption", unread)
	}
	busiest := deployed.busiestStore()
	if busiest == nil {
		return couldNot, fmt.Errorf("no store has accepted a job")
	}
	leaving := deployed.storage[0]
	if leaving == busiest {
		leaving = deployed.storage[1]
	}
	written.note("the operator asks that %s be emptied", leaving.name)
	if err := deployed.put("op/retire/"+leaving.name, []byte(`{"duration_s":8.5}`), 0); err != nil {
		return couldNot, err
	}
	time.Sleep(lossDelay)
	if trouble {
		if err := deployed.loseDisk(busiest); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(recoveryTime)
	unread := deployed.checkJobs("after", jobs)
	for _, key := range []string{"status/retire/" + leaving.name} {
		if entry, err := deployed.store.Get(deployed.ctx, key); err == nil {
			written.note("%s is %s", key, entry.Value)
		}
	}
	if unread > 0 {
		return broken, nil
	}
	return held, nil
}

// loseDisk ends a storage machine's process and starts it again, empty, at its old address.
func (f *fleet) loseDisk(target *machine) error {
	target.kill()
	if err := os.RemoveAll(target.dataFolder()); err != nil {
		return err
	}
	f.record.note("%s is killed and its disk is lost", target.name)
	time.Sleep(downTime)
	return f.start(target)
}

func (f *fleet) submitJobs() []*job {
	var accepted []*job
	for number := range jobCount {
		made := newJob(fmt.Sprintf("job-%d", number), host, pathPrefix+"x")
		status := made.submit(f.edges[number%len(f.edges)].address(8161), pathPrefix+"x")
		f.record.note("job %s with %d items answered %d", made.id, itemsPerJob, status)
		if made.accepted {
			accepted = append(accepted, made)
		}
	}
	return accepted
}

// checkJobs reads all jobs at all edges until each was read once, for readWithin at most. It returns the number of those that could not be
// read, or were read wrongly.
func (f *fleet) checkJobs(step string, jobs []*job) int {
	var checks sync.WaitGroup
	var mutex sync.Mutex
	unread := 0
	deadline := time.Now().Add(readWithin)
	lanes := make(chan struct{}, 8)
	for _, each := range jobs {
		checks.Go(func() {
			fault := f.checkJob(each, deadline, lanes)
			if fault == "" {
				return
			}
			f.record.note("%s: job %s: %s", step, each.id, fault)
			mutex.Lock()
			defer mutex.Unlock()
			unread++
		})
	}
	checks.Wait()
	f.record.note("%s: %d jobs, of which %d can't be read", step, len(jobs), unread)
	return unread
}

// checkJob returns why a job can't be read, or "".
func (f *fleet) checkJob(checked *job, deadline time.Time, lanes chan struct{}) string {
	for number := 0; ; number++ {
		edge := f.edges[number%len(f.edges)]
		lanes <- struct{}{}
		status, total := checked.read(edge.address(8161))
		<-lanes
		switch {
		case status == http.StatusOK && total != len(checked.body.Items):
			return fmt.Sprintf("total is %d", total)
		case status == http.StatusOK:
			return f.checkItems(checked, edge)
		case time.Now().After(deadline):
			return fmt.Sprintf("can't be read for %s, last status %d", readWithin, status)
		}
		time.Sleep(retryPause)
	}
}

// checkItems checks the results, and the body of the last item if it isn't listed.
func (f *fleet) checkItems(checked *job, edge *machine) string {
	for _, result := range checked.results {
		if result.State != "succeeded" || result.Text != wholeText(result.ID, eventsPerItem) {
			return fmt.Sprintf("item %s is %s with a text of %d bytes", result.ID, result.State, len(result.Text))
		}
	}
	last := checked.body.Items[len(checked.body.Items)-1]
	if _, listed := checked.results[last.ID]; listed {
		return ""
	}
	status, body := call(http.MethodGet, edge.address(8161), "/sloelift/items/"+checked.id+"?id="+last.ID, checked.host, "", nil)
	if status == http.StatusOK && !bytes.Equal(body, last.Body) {
		return "the body of its last item is not the one that was sent"
	}
	return ""
}

// busiestStore returns the storage machine that has accepted the last job: it writes most.
func (f *fleet) busiestStore() *machine {
	var found *machine
	latest := ""
	for _, each := range f.storage {
		file, err := os.Open(filepath.Join(f.folder, each.name+".log"))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			if line := lines.Text(); strings.Contains(line, "message=job_accepted") {
				if stamp, _, _ := strings.Cut(line, " "); stamp > latest {
					latest, found = stamp, each
				}
			}
		}
		_ = file.Close()
	}
	return found
}
