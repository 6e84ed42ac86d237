package discovery

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/subscription"
)

// behindGrace is how long this node waits for its own watch to deliver a change that another node knows, before it lists again. The
// watchers batch changes for up to 600 ms before they forward them (package changefeed); a node that listed sooner would know more than
// they do, and all other nodes would consider themselves behind in turn.
const behindGrace = 750 * time.Millisecond

// revisions compares the revision up to which this node knows one prefix with the revisions known to the other nodes. It is safe for
// concurrent use.
type revisions struct {
	// report publishes the revision of a change to the other nodes.
	report func(revision int64)
	// behind signals that a listing is needed.
	behind chan struct{}
	logger zerolog.Logger

	mutex sync.Mutex
	// newestChange is the revision of the newest change known to this node, seen the revision up to which it knows the prefix, and
	// othersNewest the revision of the newest change known to another node. All are guarded by mutex.
	newestChange int64
	seen         int64
	othersNewest int64
	timer        *time.Timer
}

func newRevisions(report func(revision int64), logger zerolog.Logger) *revisions {
	return &revisions{report: report, behind: make(chan struct{}, 1), logger: logger}
}

// recordChange records a change at revision and reports it to the other nodes if it is the newest.
func (r *revisions) recordChange(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision > r.newestChange {
		r.newestChange = revision
		r.report(revision)
	}
}

// recordSeen records that this node knows the prefix up to revision.
func (r *revisions) recordSeen(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seen = max(r.seen, revision)
}

// compareWithOthers records the newest change known to another node. If this node still does not know it after behindGrace, it lists again.
func (r *revisions) compareWithOthers(newest int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.othersNewest = max(r.othersNewest, newest)
	if r.othersNewest <= r.seen || r.timer != nil {
		return
	}
	r.timer = time.AfterFunc(behindGrace, r.requestListing)
}

// requestListing signals that a listing is needed if this node is still behind.
func (r *revisions) requestListing() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = nil
	if r.othersNewest <= r.seen {
		return
	}
	r.logger.Info().Int64(logging.FieldRevision, r.seen).Int64("newest", r.othersNewest).Msg("behind_other_nodes")
	subscription.Signal(r.behind)
}

func (r *revisions) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timer != nil {
		r.timer.Stop()
	}
}
