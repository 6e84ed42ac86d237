package evacuation

import (
	"maps"
	"sync"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/platform"
)

// Translator reads the keys of the operators' requests.
type Translator interface {
	// EvacuatedZone returns the zone that key asks to evacuate; found is false for a key of anything else.
	EvacuatedZone(key string) (zone string, found bool)
}

// Zones has replicas of evacuated zones get nothing more. *replica.Directory is one.
type Zones interface {
	// SetEvacuated names all evacuated zones.
	SetEvacuated(zones map[string]bool)
	// NoteEvacuationEnded says that a zone is taken back now of whose evacuation SetEvacuated was never given.
	NoteEvacuationEnded(zone string)
}

// Register holds the requests that are in force. What it is given below the operators' prefix is taken whatever the way by which it came, as
// long as it is newer than what was taken before: within the life of a process it never goes back. It is safe for concurrent use.
type Register struct {
	translator Translator
	zones      Zones
	metrics    *Metrics
	logger     zerolog.Logger

	mutex sync.Mutex
	// revision is the one of the key-value service up to which the requests are known, 0 before the first listing; evacuated holds, by zone,
	// the revision of its request. Both are guarded by mutex, which is held while zones is called, so that it is called in their order.
	revision  int64
	evacuated map[string]int64
	// byCopy says that what is known is a copy of some time ago, which the service's own listing ends whatever its revision.
	byCopy bool
}

// NewRegister returns a Register without any request.
func NewRegister(translator Translator, zones Zones, metrics *Metrics, logger zerolog.Logger) *Register {
	return &Register{
		translator: translator, zones: zones, metrics: metrics, evacuated: map[string]int64{},
		logger: logger.With().Str(logging.FieldSlice, "evacuation").Logger(),
	}
}

// Replace takes in all that is below the operators' prefix.
func (r *Register) Replace(listing platform.Listing) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listing.Revision < r.revision && !r.byCopy {
		r.logOlder(listing.Revision)
		return
	}
	r.byCopy = false
	r.replace(listing)
}

// replace puts the requests of a listing in force. The mutex is held.
func (r *Register) replace(listing platform.Listing) {
	listed := map[string]int64{}
	for _, entry := range listing.Entries {
		if zone, found := r.translator.EvacuatedZone(entry.Key); found {
			listed[zone] = entry.ModRevision
		}
	}
	r.revision = listing.Revision
	r.put(listed)
}

// ReplaceByCopy takes in what was below the operators' prefix some time ago, for a process that starts while the key-value service is away. A
// zone that was taken back since is used again with the service's first listing.
func (r *Register) ReplaceByCopy(copied platform.Listing) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if copied.Revision < r.revision {
		r.logOlder(copied.Revision)
		return
	}
	r.byCopy = true
	r.replace(copied)
}

// Update takes in the changes up to revision; both lists may be empty.
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
			r.endedUnseen(zone)
		}
		delete(next, zone)
	}
	r.put(next)
}

// put puts requests in force and says what has changed. The mutex is held.
func (r *Register) put(next map[string]int64) {
	before := r.evacuated
	if !maps.EqualFunc(before, next, func(_, _ int64) bool { return true }) {
		zones := make(map[string]bool, len(next))
		for zone := range next {
			zones[zone] = true
		}
		r.zones.SetEvacuated(zones)
	}
	r.evacuated = next
	for zone, asked := range next {
		if previous, known := before[zone]; !known || previous != asked {
			r.metrics.set(zone, true)
			r.logger.Info().Str("evacuated", zone).Int64(logging.FieldRevision, asked).Bool("again", known).Msg("zone_evacuated")
		}
	}
	for zone, asked := range before {
		if _, still := next[zone]; !still {
			r.metrics.set(zone, false)
			r.logger.Info().Str("evacuated", zone).Int64("asked", asked).Int64(logging.FieldRevision, r.revision).Msg("zone_taken_back")
		}
	}
}

// endedUnseen notes that a zone was evacuated and taken back between two answers of the key-value service. The mutex is held.
func (r *Register) endedUnseen(zone string) {
	r.zones.NoteEvacuationEnded(zone)
	r.logger.Info().Str("evacuated", zone).Int64(logging.FieldRevision, r.revision).Msg("zone_taken_back_unseen")
}

// logOlder says that what came is older than what is known. The mutex is held.
func (r *Register) logOlder(revision int64) {
	r.logger.Warn().Int64(logging.FieldRevision, revision).Int64("known", r.revision).Str(logging.FieldReason, "older than what is known").
		Msg("evacuations_not_taken")
}
