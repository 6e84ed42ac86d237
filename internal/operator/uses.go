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

// Uses tells what runs on a declaration.
type Uses struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"`
	// Declarations are "Kind name" of those that refer to it.
	Declarations []string `json:"declarations,omitempty"`
	// Jobs are those that have not ended.
	Jobs []JobView `json:"jobs,omitempty"`
	// Replicas are those that serve it.
	Replicas []string `json:"replicas,omitempty"`
}

// RunningJobsError says that jobs which have not ended need a declaration that was to
// be withdrawn. Nothing was changed.
type RunningJobsError struct {
	Uses Uses `json:"uses"`
}

// Error names the jobs.
func (e *RunningJobsError) Error() string {
	names := make([]string, 0, len(e.Uses.Jobs))
	for _, running := range e.Uses.Jobs {
		names = append(names, running.ID)
	}
	return fmt.Sprintf("%s %s is needed by running jobs %s; nothing was changed", e.Uses.Kind, e.Uses.Name, strings.Join(names, ", "))
}

// usesFinder finds Uses. directory and jobs may be nil.
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
		if id.Kind == config.KindService && replica.Service == id.Name || id.Kind == config.KindModel && holds(replica, id.Name) {
			names = append(names, replica.ID)
		}
	}
	sort.Strings(names)
	return names
}

// holds tells whether the replica has model loaded, by its last load report.
func holds(replica fleet.Replica, model string) bool {
	return slices.ContainsFunc(replica.Load.Models, func(loaded engine.Loaded) bool { return loaded.Model == model })
}

// jobPageSize is the number of jobs that one call of job.Service.List asks for, and the bound of a page of GET /v1/jobs.
const jobPageSize = 500

// runningJobs lists the jobs that have not ended and need the declaration. A Job
// declaration is only a template: jobs made from it keep their own copy.
func (f *usesFinder) runningJobs(ctx context.Context, snapshot *config.Snapshot, id config.ID) ([]JobView, error) {
	needs := jobFilter(id)
	if f.jobs == nil || needs == nil {
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
				if !ended(status.Phase) && needs(status) {
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

func ended(phase job.Phase) bool {
	return phase == job.PhaseCompleted || phase == job.PhaseCancelled || phase == job.PhaseExpired
}
