package discovery

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/subscription"
)

// behindPatience is how long this node's own watch is given to bring what another node knows. The nodes that watch gather changes for
// up to 600 ms before they pass them on (changefeed); a node that listed again sooner would know more than they do, and all others
// would take themselves for behind in turn.
const behindPatience = 750 * time.Millisecond

// revisions compares what this node knows of one prefix with what the other nodes know of it. It is safe for concurrent use.
type revisions struct {
	// report spreads the revision of a change to the other nodes.
	report func(revision int64)
	// behind asks for a listing.
	behind chan struct{}
	logger zerolog.Logger

	mutex sync.Mutex
	// changed is the revision of the newest change that this node knows, seen the revision up to which it knows the prefix, and
	// newestElsewhere the newest change that another node knows; all are guarded by mutex.
	changed         int64
	seen            int64
	newestElsewhere int64
	timer           *time.Timer
}

func newRevisions(report func(revision int64), logger zerolog.Logger) *revisions {
	return &revisions{report: report, behind: make(chan struct{}, 1), logger: logger}
}

// tookChange notes a change at revision, which is reported to the other nodes.
func (r *revisions) tookChange(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision > r.changed {
		r.changed = revision
		r.report(revision)
	}
}

// saw notes that this node knows the prefix up to revision.
func (r *revisions) saw(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seen = max(r.seen, revision)
}

// takeOthers takes the newest change that another node knows. Some time later it is looked whether this node knows it too.
func (r *revisions) takeOthers(newest int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.newestElsewhere = max(r.newestElsewhere, newest)
	if r.newestElsewhere <= r.seen || r.timer != nil {
		return
	}
	r.timer = time.AfterFunc(behindPatience, r.askAgain)
}

// askAgain asks for a listing where this node is still behind.
func (r *revisions) askAgain() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.timer = nil
	if r.newestElsewhere <= r.seen {
		return
	}
	r.logger.Info().Int64(logging.FieldRevision, r.seen).Int64("newest", r.newestElsewhere).Msg("behind_other_nodes")
	subscription.Signal(r.behind)
}

func (r *revisions) stop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.timer != nil {
		r.timer.Stop()
	}
}
