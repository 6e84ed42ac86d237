package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
)

// fakeSource returns the snapshot from the last time that the store was reachable.
type fakeSource struct {
	store config.Store
	mutex sync.Mutex
	last  *config.Snapshot
}

func (f *fakeSource) Current() *config.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if snapshot, err := f.store.Load(context.Background()); err == nil {
		f.last = snapshot
	}
	if f.last == nil {
		f.last = &config.Snapshot{}
	}
	return f.last
}

func (f *fakeSource) Subscribe(func(*config.Snapshot)) func() { return func() {} }

// fakeViewer returns a view with the node itself and at most one other member.
type fakeViewer struct {
	mutex sync.Mutex
	other membership.Member
}

func (f *fakeViewer) set(revision int64, suspect bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.other = membership.Member{
		ID: "node-b", Region: "lahore", Zone: "gulberg-hall", Revisions: membership.Revisions{Configuration: revision}, Store: true,
		AdminAddress: netip.MustParseAddrPort("127.0.0.2:8090"),
	}
	if suspect {
		f.other.State = membership.Suspect
	}
}

func (f *fakeViewer) View() *membership.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	members := []membership.Member{{ID: "node-a", Region: "lahore", Zone: "shadman-hall", Incarnation: 7, AdminAddress: netip.MustParseAddrPort("127.0.0.1:8090")}}
	if f.other.ID != "" {
		members = append(members, f.other)
	}
	return &membership.View{Self: "node-a", Members: members}
}

func (f *fakeViewer) Subscribe(func(*membership.View)) func() { return func() {} }

// fakeJobs keeps jobs in memory; the result of each item is its input.
type fakeJobs struct {
	mutex sync.Mutex
	jobs  map[string]*fakeJob
	order []string
	// refused holds the client keys that have been refused once.
	refused map[string]bool
}

type fakeJob struct {
	status job.Status
	items  []json.RawMessage
}

var fakeNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func (f *fakeJobs) Submit(_ context.Context, submission job.Submission) (job.Status, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if strings.HasPrefix(submission.ClientKey, busyKey) && !f.refused[submission.ClientKey] {
		f.refused[submission.ClientKey] = true
		return job.Status{}, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "no owner").After(time.Millisecond)
	}
	id := "job-" + submission.Tenant + "-" + submission.ClientKey
	if existing, present := f.jobs[id]; present {
		return existing.status, nil
	}
	created := &fakeJob{}
	lines := bufio.NewScanner(submission.Items)
	for lines.Scan() {
		created.items = append(created.items, json.RawMessage(lines.Text()))
	}
	if lines.Err() != nil {
		return job.Status{}, outcome.Wrap(lines.Err(), outcome.NotRun, outcome.ReasonInvalid, "input")
	}
	created.status = job.Status{
		ID: id, Tenant: submission.Tenant, ClientKey: submission.ClientKey, Service: submission.Service,
		Priority: submission.Priority, Operation: submission.Operation, Phase: job.PhaseRunning,
		AcceptedAt: fakeNow, Deadline: fakeNow.Add(submission.Deadline), Total: len(created.items),
	}
	if f.jobs == nil {
		f.jobs = map[string]*fakeJob{}
	}
	f.jobs[id] = created
	f.order = append(f.order, id)
	return created.status, nil
}

func (f *fakeJobs) find(tenant, id string) (*fakeJob, error) {
	found, present := f.jobs[id]
	if !present || found.status.Tenant != tenant {
		return nil, outcome.New(outcome.Failed, outcome.ReasonNotFound, "no such job")
	}
	return found, nil
}

func (f *fakeJobs) Status(_ context.Context, tenant, id string) (job.Status, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, err := f.find(tenant, id)
	if err != nil {
		return job.Status{}, err
	}
	return found.status, nil
}

func (f *fakeJobs) List(_ context.Context, tenant, after string, _ int) ([]job.Status, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []job.Status
	for _, id := range f.order {
		if id > after && f.jobs[id].status.Tenant == tenant {
			list = append(list, f.jobs[id].status)
		}
	}
	return list, nil
}

func (f *fakeJobs) Cancel(_ context.Context, tenant, id string) (job.Status, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, err := f.find(tenant, id)
	if err != nil {
		return job.Status{}, err
	}
	found.status.Phase = job.PhaseCancelled
	return found.status, nil
}

// busyKey is the prefix of client keys whose first submission is refused with a retry-after time.
const busyKey = "busy"

// Results of a job with client key cutKey fail at index cutAfter.
const (
	cutKey   = "cut"
	cutAfter = 1
)

func (f *fakeJobs) Results(_ context.Context, tenant, id string, from int, yield func(job.ItemResult) error) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, err := f.find(tenant, id)
	if err != nil {
		return err
	}
	for index := from; index < len(found.items); index++ {
		if found.status.ClientKey == cutKey && index == cutAfter {
			return outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the owner is gone")
		}
		if err := yield(job.ItemResult{Index: index, Outcome: string(outcome.Completed), Status: 200, Body: found.items[index]}); err != nil {
			return err
		}
	}
	return nil
}
