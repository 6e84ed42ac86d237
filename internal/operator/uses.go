package operator

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/job"
)

// Uses lists what depends on a declaration.
type Uses struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"`
	// Declarations are the declarations that refer to it, as "Kind name".
	Declarations []string `json:"declarations,omitempty"`
	// Jobs are the jobs that need it and have not ended.
	Jobs []JobView `json:"jobs,omitempty"`
	// Replicas are the IDs of the replicas that serve it.
	Replicas []string `json:"replicas,omitempty"`
}

// RunningJobsError means that a declaration to be withdrawn is needed by jobs that have
// not ended. Nothing was changed.
type RunningJobsError struct {
	Uses Uses `json:"uses"`
}

// Error lists the IDs of the jobs.
func (e *RunningJobsError) Error() string {
	names := make([]string, 0, len(e.Uses.Jobs))
	for _, running := range e.Uses.Jobs {
		names = append(names, running.ID)
	}
	return fmt.Sprintf("%s %s is needed by running jobs %s; nothing was changed", e.Uses.Kind, e.Uses.Name, strings.Join(names, ", "))
}

// usesFinder determines the Uses of declarations. directory and jobs may be nil.
type usesFinder struct {
	directory fleet.Source
	jobs      job.Service
}

func (f *usesFinder) find(ctx context.Context, snapshot *config.Snapshot, id config.ID) (Uses, error) {
	uses := Uses{Kind: id.Kind, Name: id.Name, Declarations: config.UsersOf(snapshot, id)}
	uses.Replicas = f.replicas(id)
	running, err := f.runningJobs(ctx, snapshot, id)
	uses.Jobs = running
	return uses, err
}

func (f *usesFinder) replicas(id config.ID) []string {
	if f.directory == nil {
		return nil
	}
	var names []string
	for _, replica := range f.directory.Directory().Replicas {
		if id.Kind == config.KindService && replica.Service == id.Name || id.Kind == config.KindModel && hasLoaded(replica, id.Name) {
			names = append(names, replica.ID)
		}
	}
	sort.Strings(names)
	return names
}

// hasLoaded reports whether the replica has model loaded, according to its last load report.
func hasLoaded(replica fleet.Replica, model string) bool {
	return slices.ContainsFunc(replica.Load.Models, func(loaded engine.LoadedModel) bool { return loaded.Model == model })
}

// jobPageSize is the number of jobs requested by one call of job.Service.List, and the maximum page size of GET /v1/jobs.
const jobPageSize = 500

// runningJobs returns the jobs that have not ended and need the declaration. A Job
// declaration is only a template: jobs submitted with it keep their own copy of its
// values.
func (f *usesFinder) runningJobs(ctx context.Context, snapshot *config.Snapshot, id config.ID) ([]JobView, error) {
	matches := jobFilter(id)
	if f.jobs == nil || matches == nil {
		return nil, nil
	}
	var running []JobView
	for tenant := range snapshot.Tenants {
		for after := ""; ; {
			page, err := f.jobs.List(ctx, tenant, after, jobPageSize)
			if err != nil {
				return nil, err
			}
			for _, status := range page {
				if !hasEnded(status.Phase) && matches(status) {
					running = append(running, newJobView(status))
				}
			}
			if len(page) < jobPageSize {
				break
			}
			after = page[len(page)-1].ID
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].ID < running[j].ID })
	return running, nil
}

// jobFilter returns a function that reports whether a job needs the declaration; nil if
// no job can need a declaration of its kind.
func jobFilter(id config.ID) func(job.Status) bool {
	switch id.Kind {
	case config.KindService:
		return func(status job.Status) bool { return status.Service == id.Name }
	case config.KindPriority:
		return func(status job.Status) bool { return status.Priority == id.Name }
	case config.KindTenant:
		return func(status job.Status) bool { return status.Tenant == id.Name }
	}
	return nil
}

func hasEnded(phase job.Phase) bool {
	return phase == job.PhaseCompleted || phase == job.PhaseCancelled || phase == job.PhaseExpired
}
