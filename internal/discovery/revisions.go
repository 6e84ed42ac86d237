package discovery

import (
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// behindPatience is how long this node's own watch is given to bring what another node has heard of.
const behindPatience = 150 * time.Millisecond

// RevisionReporter tells the other nodes of a revision.
type RevisionReporter interface {
	SetConfigRevision(revision int64)
}

// revisions compares what this node knows with what others do. It is safe for concurrent use.
type revisions struct {
	reporter RevisionReporter
	// configuration and replicas ask for a listing.
	configuration chan struct{}
	replicas      chan struct{}

	mutex sync.Mutex
	// changed is the highest revision of a change that this node knows, seen the revision up to which it knows both
	// prefixes; all are guarded by mutex.
	changed           int64
	seenConfiguration int64
	seenReplicas      int64
	timer             *time.Timer
	newest            int64
}

func newRevisions(reporter RevisionReporter) *revisions {
	return &revisions{reporter: reporter, configuration: make(chan struct{}, 1), replicas: make(chan struct{}, 1)}
}

// tookChange notes a change at revision, which the other nodes are told of.
func (r *revisions) tookChange(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision > r.changed {
		r.changed = revision
		r.reporter.SetConfigRevision(revision)
	}
}

func (r *revisions) sawConfiguration(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seenConfiguration = max(r.seenConfiguration, revision)
}

func (r *revisions) sawReplicas(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seenReplicas = max(r.seenReplicas, revision)
}

// compare looks, some time later, whether another node knows of a change that this one does not.
func (r *revisions) compare(view *membership.View) {
	var newest int64
	for _, member := range view.Members {
		if member.ID != view.Self && member.State != membership.Dead {
			newest = max(newest, member.ConfigRevision)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.newest = max(r.newest, newest)
	if r.newest <= min(r.seenConfiguration, r.seenReplicas) || r.timer != nil {
		return
	}
	r.timer = time.AfterFunc(behindPatience, r.askAgain)
}

// askAgain asks for listings of what is still behind.
func (r *revisions) askAgain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = nil
	if r.newest <= r.changed {
		return
	}
	if r.newest > r.seenConfiguration {
		signal(r.configuration)
	}
	if r.newest > r.seenReplicas {
		signal(r.replicas)
	}
}

func (r *revisions) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timer != nil {
		r.timer.Stop()
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
