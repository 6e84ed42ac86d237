package evacuation

import (
	"maps"
	"sync"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/platform"
)

// Translator interprets the keys of the operators' requests.
type Translator interface {
	// EvacuatedZone returns the zone that key asks to evacuate; found is false for any other key.
	EvacuatedZone(key string) (zone string, found bool)
}

// ReplicaDirectory stops requests to the replicas of evacuated zones. *replica.Directory implements it.
type ReplicaDirectory interface {
	// SetEvacuated replaces the set of evacuated zones.
	SetEvacuated(zones map[string]bool)
	// NoteEvacuationEnded records the end, now, of an evacuation of the zone that SetEvacuated never named, because it was
	// over before this process learned of it.
	NoteEvacuationEnded(zone string)
}

// Register holds the evacuation requests in force. It accepts listings and changes below the operators' prefix from any source, in any order,
// and ignores those older than its state: within the lifetime of a process its state never goes back to an older revision, except that the
// key-value service's own listing replaces a copy. It is safe for concurrent use.
type Register struct {
	translator Translator
	directory  ReplicaDirectory
	metrics    *Metrics
	logger     zerolog.Logger

	// mutex guards the fields below. It is held while directory is called, so that the calls are in the order of the revisions.
	mutex sync.Mutex
	// revision is the key-value service's revision up to which the requests are known; 0 before the first listing.
	revision int64
	// evacuated holds the revision of each evacuated zone's request.
	evacuated map[string]int64
	// fromCopy is set while the state comes from a copy. The service's own listing replaces it, whatever the revision of that.
	fromCopy bool
}

// NewRegister returns a Register without requests.
func NewRegister(translator Translator, directory ReplicaDirectory, metrics *Metrics, logger zerolog.Logger) *Register {
	return &Register{
		translator: translator, directory: directory, metrics: metrics, evacuated: map[string]int64{},
		logger: logger.With().Str(logging.FieldSlice, "evacuation").Logger(),
	}
}

// Replace replaces the requests by those in a complete listing of the operators' prefix. It ignores a listing older than the state, unless the
// state comes from a copy.
func (r *Register) Replace(listing platform.Listing) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listing.Revision < r.revision && !r.fromCopy {
		r.logOlder(listing.Revision)
		return
	}
	r.fromCopy = false
	r.applyListing(listing)
}

// applyListing puts the requests of a listing in force. The caller must hold mutex.
func (r *Register) applyListing(listing platform.Listing) {
	listed := map[string]int64{}
	for _, entry := range listing.Entries {
		if zone, found := r.translator.EvacuatedZone(entry.Key); found {
			listed[zone] = entry.ModRevision
		}
	}
	r.revision = listing.Revision
	r.setRequests(listed)
}

// ReplaceByCopy replaces the requests by those in a copy of an earlier listing, for a process that starts while the key-value service is
// unavailable. A zone whose request has been withdrawn since is used again after the service's first listing.
func (r *Register) ReplaceByCopy(copied platform.Listing) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if copied.Revision < r.revision {
		r.logOlder(copied.Revision)
		return
	}
	r.fromCopy = true
	r.applyListing(copied)
}

// Update applies the changes up to revision; both lists may be empty. It ignores changes that are not newer than the state.
func (r *Register) Update(revision int64, changed []platform.Entry, deleted []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if revision <= r.revision {
		if len(changed)+len(deleted) > 0 {
			r.logOlder(revision)
		}
		return
	}
	r.revision = revision
	next := maps.Clone(r.evacuated)
	for _, entry := range changed {
		if zone, found := r.translator.EvacuatedZone(entry.Key); found {
			next[zone] = entry.ModRevision
		}
	}
	for _, key := range deleted {
		zone, found := r.translator.EvacuatedZone(key)
		if !found {
			continue
		}
		if _, known := next[zone]; !known {
			r.noteUnseenEnd(zone)
		}
		delete(next, zone)
	}
	r.setRequests(next)
}

// setRequests puts requests in force and records the changes in metrics and log. The caller must hold mutex.
func (r *Register) setRequests(next map[string]int64) {
	previous := r.evacuated
	if !maps.EqualFunc(previous, next, func(_, _ int64) bool { return true }) {
		zones := make(map[string]bool, len(next))
		for zone := range next {
			zones[zone] = true
		}
		r.directory.SetEvacuated(zones)
	}
	r.evacuated = next
	for zone, revision := range next {
		if previousRevision, known := previous[zone]; !known || previousRevision != revision {
			r.metrics.set(zone, true)
			r.logger.Info().Str("evacuated", zone).Int64(logging.FieldRevision, revision).Bool("again", known).Msg("zone_evacuated")
		}
	}
	for zone, revision := range previous {
		if _, requested := next[zone]; !requested {
			r.metrics.set(zone, false)
			r.logger.Info().Str("evacuated", zone).Int64("asked", revision).Int64(logging.FieldRevision, r.revision).Msg("zone_taken_back")
		}
	}
}

// noteUnseenEnd records that a zone was evacuated and the request withdrawn between two answers of the key-value service. The caller must hold
// mutex.
func (r *Register) noteUnseenEnd(zone string) {
	r.directory.NoteEvacuationEnded(zone)
	r.logger.Info().Str("evacuated", zone).Int64(logging.FieldRevision, r.revision).Msg("zone_taken_back_unseen")
}

// logOlder logs that a listing or change was ignored because it is older than the state. The caller must hold mutex.
func (r *Register) logOlder(revision int64) {
	r.logger.Warn().Int64(logging.FieldRevision, revision).Int64("known", r.revision).
		Str(logging.FieldReason, "revision is older than the known one").Msg("evacuations_not_taken")
}
