package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// maxGapAge is how long changes that were missed are read again from the store's history; it forgets them after about that time.
	maxGapAge = 20 * time.Second
	// historyTimeout bounds one read of the history.
	historyTimeout = time.Second
)

// versionReader determines the versions of replicas as of the present, which the followed list does not show: it lags behind the store,
// and what a node that stood still receives first is old. It is safe for concurrent use.
type versionReader struct {
	changes    platform.ChangeReader
	checked    func(prefix string) (newest, checked int64)
	translator Translator
	directory  *replica.Directory
	reads      sharedRead
	logger     zerolog.Logger

	// mutex guards the fields below. applied is the revision up to which the directory has all changes. Those after missedFrom, until
	// missedAt, are known by their result only.
	mutex      sync.Mutex
	applied    int64
	missedFrom int64
	missedAt   time.Time
	// window is the longest window that was asked for.
	window time.Duration
}

func newVersionReader(options Options) *versionReader {
	reader := &versionReader{
		changes: options.Changes, checked: options.Checked, translator: options.Translator, directory: options.Directory,
		logger: options.Logger.With().Str(logging.FieldSlice, "discovery").Logger(),
	}
	reader.reads.read = reader.readHistory
	return reader
}

// followed records that the directory has all changes up to revision.
func (r *versionReader) followed(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applied = max(r.applied, revision)
}

// missed records that changes after the last ones that were followed are known by their result only.
func (r *versionReader) missed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.applied == 0 {
		return
	}
	now := clock.Now()
	if r.missedAt.IsZero() || now.Sub(r.missedAt) > maxGapAge {
		r.missedFrom = r.applied
	}
	r.missedAt = now
}

// since returns the revision after which the directory may lack changes, or know only their result.
func (r *versionReader) since() int64 {
	newest, checked := r.checked(r.translator.ReplicaPrefix())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.missedAt.IsZero() && clock.Since(r.missedAt) <= r.window {
		return r.missedFrom
	}
	if newest > r.applied {
		return r.applied
	}
	return max(r.applied, checked)
}

// extendWindow makes reads cover at least the given time.
func (r *versionReader) extendWindow(window time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.window = max(r.window, window)
}

// readHistory returns the replicas that were written since the directory's last certain state, as of a moment after the call.
func (r *versionReader) readHistory() ([]replica.Info, error) {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	changes, _, err := r.changes.ReadChanges(ctx, r.translator.ReplicaPrefix(), r.since())
	if err != nil {
		return nil, err
	}
	var written []replica.Info
	for _, change := range changes {
		for _, entry := range change.Changed {
			info, err := r.translator.Replica(entry.Key, entry.Value)
			if err != nil {
				// Its version is not known.
				return nil, err
			}
			written = append(written, info)
		}
	}
	return written, nil
}

// SoleVersion implements forward.SoleVersions.
func (s *Service) SoleVersion(ctx context.Context, service string, window time.Duration) string {
	return s.versions.soleVersion(ctx, service, window)
}

func (r *versionReader) soleVersion(ctx context.Context, service string, window time.Duration) string {
	if r.changes == nil || r.checked == nil || window > maxGapAge || r.directory.SoleVersion(service, window) == "" {
		return ""
	}
	r.extendWindow(window)
	written, err := r.reads.get(ctx)
	if err != nil {
		r.logger.Info().Str("service", service).Err(err).Msg("versions_not_confirmed")
		return ""
	}
	sole := r.directory.SoleVersion(service, window)
	for _, info := range written {
		if info.Service == service && info.Version != sole {
			r.logger.Info().Str("service", service).Str("version", sole).Str("other", info.Version).Str(logging.FieldReplica, info.ID).
				Msg("version_not_sole")
			return ""
		}
	}
	return sole
}
