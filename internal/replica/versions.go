package replica

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// versionRetention is how long a version is remembered that no replica has any more, longer than any stream lasts.
const versionRetention = 2 * time.Hour

// versionKey identifies a version of a service's software.
type versionKey struct{ service, version string }

// versionHistory holds, for each version that replicas have had, until when: the zero time while some have it. It is used under the mutex of
// the Directory.
type versionHistory struct {
	// listedSince is when the key-value service first listed the replicas; zero before.
	listedSince time.Time
	until       map[versionKey]time.Time
}

// note records the versions of the replicas that are listed now.
func (h *versionHistory) note(listed map[string]*Handle, now time.Time) {
	present := map[versionKey]bool{}
	for _, handle := range listed {
		info := handle.Info()
		present[versionKey{info.Service, info.Version}] = true
	}
	for key, until := range h.until {
		switch {
		case until.IsZero() && !present[key]:
			h.until[key] = now
		case !until.IsZero() && now.Sub(until) > versionRetention:
			delete(h.until, key)
		}
	}
	for key := range present {
		h.until[key] = time.Time{}
	}
}

// SoleVersion returns the version that all replicas of a service have had during window, as far as this node knows. It returns "" if there
// were several, if one told none, or if this node has not followed the complete list of replicas for so long.
func (d *Directory) SoleVersion(service string, window time.Duration) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := clock.Now()
	if d.versions.listedSince.IsZero() || now.Sub(d.versions.listedSince) < window || d.View().IsPartial() {
		return ""
	}
	sole := ""
	for key, until := range d.versions.until {
		if key.service != service || !until.IsZero() && now.Sub(until) >= window {
			continue
		}
		if key.version == "" || sole != "" {
			return ""
		}
		sole = key.version
	}
	return sole
}
