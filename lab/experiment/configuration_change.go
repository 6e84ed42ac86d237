package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sloelift/sloelift/lab/deployment"
)

const (
	defaultConfigurationChanges = 5
	configurationPoll           = 100 * time.Millisecond
	// configurationTimeout is the maximum time from a file's acceptance until it must be in force on all nodes in service.
	configurationTimeout = 8 * time.Second
)

// ConfigurationResult describes how accepted configuration files spread.
type ConfigurationResult struct {
	Accepted int `json:"accepted"`
	// Reverts counts the times that a node went back to a lower revision.
	Reverts int `json:"reverts"`
	// Slowest is the longest time, in seconds, from acceptance until all nodes in service had the file.
	Slowest float64 `json:"slowest_seconds"`
	// Late counts files that were not in force on all nodes in service within the bound.
	Late int `json:"late"`
}

// configurationWatch polls the nodes' revisions and records those that decrease.
type configurationWatch struct {
	deployment *deployment.Deployment
	// mutex guards the rest.
	mutex   sync.Mutex
	highest map[string]int64
	reverts []string
}

func newConfigurationWatch(target *deployment.Deployment) *configurationWatch {
	return &configurationWatch{deployment: target, highest: map[string]int64{}}
}

// inForce polls once and reports whether all nodes in service are at revision or above.
func (w *configurationWatch) inForce(ctx context.Context, revision int64) bool {
	complete := true
	for _, node := range w.deployment.Nodes {
		if !node.IsServing() {
			continue
		}
		current, err := w.deployment.Revision(ctx, node)
		if err != nil || current < revision {
			complete = false
		}
		if err == nil {
			w.noteRevision(node.ID, current)
		}
	}
	return complete
}

func (w *configurationWatch) noteRevision(node string, revision int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if revision < w.highest[node] {
		w.reverts = append(w.reverts, fmt.Sprintf("node %s went from revision %d back to %d", node, w.highest[node], revision))
	}
	w.highest[node] = max(w.highest[node], revision)
}

// changeConfiguration applies changed files evenly over the fault's duration and waits for
// each to be in force on all nodes in service.
func (i *injector) changeConfiguration(ctx context.Context, fault Fault) error {
	changes := max(fault.Count, 1)
	if fault.Count == 0 {
		changes = defaultConfigurationChanges
	}
	watch := newConfigurationWatch(i.deployment)
	result := &ConfigurationResult{}
	for change := range changes {
		due := time.Now().Add(fault.For / time.Duration(changes))
		revision, err := i.deployment.ChangeConfiguration(ctx, change)
		if err == nil {
			result.Accepted++
			i.followRevision(ctx, watch, revision, result)
		}
		if !pause(ctx, time.Until(due)) {
			break
		}
	}
	result.Reverts = len(watch.reverts)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.configuration = result
	i.failures = append(i.failures, watch.reverts...)
	if result.Late > 0 {
		i.failures = append(i.failures, fmt.Sprintf("%d configuration files were not in force everywhere within %v", result.Late, configurationTimeout))
	}
	return nil
}

func (i *injector) followRevision(ctx context.Context, watch *configurationWatch, revision int64, result *ConfigurationResult) {
	accepted := time.Now()
	for !watch.inForce(ctx, revision) {
		if time.Since(accepted) > configurationTimeout || !pause(ctx, configurationPoll) {
			result.Late++
			return
		}
	}
	result.Slowest = max(result.Slowest, time.Since(accepted).Seconds())
}
