package batch

import (
	"slices"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// originMissingTimeout is how long no replica may go on with an item's text before the item is begun anew: a replica that crashed may be
// back by then.
const originMissingTimeout = time.Second

// originOf returns the origin of the text in a progress record; zero if it is not known, as in records of older builds.
func originOf(progress *batchpb.Progress) replica.Origin {
	return replica.Origin{
		Service: progress.GetService(), Version: progress.GetVersion(), Incarnation: replica.Key(progress.GetIncarnation()),
	}
}

// resumeFrom starts a run with the text that the log has, unless it is not known which software began it: then the item begins anew.
func (r *itemRun) resumeFrom(progress *batchpb.Progress) {
	r.text, r.lastEvent, r.logged = []byte(progress.Text), progress.LastEvent, len(progress.Text)
	r.origin, r.rewritten = originOf(progress), progress.Rewritten
	if r.origin.IsZero() && len(r.text) > 0 {
		r.beginAnew()
	}
}

// beginAnew drops the item's text. The records of the item then have its whole text: an append of the text before may take effect even after
// it failed.
func (r *itemRun) beginAnew() {
	r.rewritten = true
	// The time of the runs so far is not that of the new text.
	r.startedWithText = true
	r.text, r.lastEvent, r.logged, r.origin = nil, "", 0, replica.Origin{}
}

// waitsForOrigin reports whether an item waits for a replica that may go on with its text. After originMissingTimeout it drops the text, so
// that any replica may begin the item anew.
func (p *partition) waitsForOrigin(item *candidate) bool {
	if item.origin.IsZero() {
		return false
	}
	served := p.service.servesOrigin(item.route, item.homes, item.origin)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	run := p.ensureRun(item.key)
	now := p.elapsed()
	switch {
	case served:
		run.originMissingSince = 0
		return false
	case run.originMissingSince == 0:
		run.originMissingSince = max(1, now)
		return true
	case now-run.originMissingSince < originMissingTimeout || !p.service.servesOrigin(item.route, item.homes, replica.Origin{}):
		return true
	}
	p.logger.Info().Str(logging.FieldJob, item.key.job).Int("item", item.key.number).Str("service", item.origin.Service).
		Str("version", item.origin.Version).Str("last_event", run.lastEvent).Msg("item_begun_anew")
	run.beginAnew()
	run.originMissingSince = 0
	item.origin, item.textSize = replica.Origin{}, 0
	return false
}

// servesOrigin reports whether a route leads to a replica in homes that takes requests and may go on with an answer of the given origin; of
// any origin if it is zero.
func (s *Service) servesOrigin(matched *route.Route, homes region.Set, began replica.Origin) bool {
	view := s.directory.View()
	if view.Contradicts(began) {
		return false
	}
	return slices.ContainsFunc(matched.Backends, func(backend route.Backend) bool {
		return slices.ContainsFunc(view.ForService(backend.Service), func(handle *replica.Handle) bool {
			return handle.Usable() && s.picker.InAllowedRegion(homes, handle) && (began.IsZero() || began.MayContinueAt(handle))
		})
	})
}
