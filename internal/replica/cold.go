package replica

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// SendWithin is the longest time from a ColdPass's Take to the first byte of the request. If connecting took longer, as during a network
// partition, requests that were admitted one after the other would reach the replica in a burst. Connecting normally takes up to 10 ms; a
// process throttled by its CPU quota can be stopped for up to 0.1 s.
const SendWithin = 100 * time.Millisecond

// coldSlots is the number of slots that a cold replica counts for in capacity estimates: a few requests per second, each lasting a
// fraction of a second, amount to about one at a time.
const coldSlots = 1

// coldWindow is the sliding window in which the requests of a ColdPass are counted. Requests that are sent within the same second were
// all admitted within one such window.
const coldWindow = time.Second + SendWithin

// MaxColdFor is the longest cold period that a replica can report. A longer one is invalid.
const MaxColdFor = 24 * time.Hour

// ColdPass is this process's share of a cold replica's rate limit. It is safe for concurrent use.
//
// Invariant: at most limit requests are admitted within any coldWindow, and none after until.
type ColdPass struct {
	mutex sync.Mutex
	limit int
	until time.Time
	// admitted holds the times of the latest requests, oldest first, at most limit of them.
	admitted []time.Time
}

// NewColdPass returns a pass for limit requests per second that expires at until.
func NewColdPass(limit int, until time.Time) *ColdPass { return &ColdPass{limit: limit, until: until} }

// Extend changes the pass's expiry to until.
func (p *ColdPass) Extend(until time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until = until
}

// Until returns when the pass expires.
func (p *ColdPass) Until() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.until
}

// Room reports whether Take would admit a request.
func (p *ColdPass) Room(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.room(now)
}

// room is Room with the mutex held.
func (p *ColdPass) room(now time.Time) bool {
	if !now.Before(p.until) {
		return false
	}
	return len(p.admitted) < p.limit || now.Sub(p.admitted[0]) > coldWindow
}

// Take admits a request and returns true, or returns false if the limit is used up or the pass has expired.
func (p *ColdPass) Take(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.limit <= 0 || !p.room(now) {
		return false
	}
	if len(p.admitted) == p.limit {
		p.admitted = append(p.admitted[:0], p.admitted[1:]...)
	}
	p.admitted = append(p.admitted, now)
	return true
}

// coldState is what this process knows of a replica's cold period after its start.
type coldState struct {
	// bounded is true if the replica's service declares a rate limit for its cold replicas.
	bounded atomic.Bool
	// until is the latest time until which the replica is known or assumed to be cold; nil if it never was cold.
	until atomic.Pointer[time.Time]
	// pass is the share of the rate limit that this process holds; nil if it holds none.
	pass atomic.Pointer[ColdPass]
	// wantedAt is when a request could last have been sent to the replica while it was cold; nil if there was none.
	wantedAt atomic.Pointer[time.Time]
}

// SetColdBounded sets whether the replica's service declares a rate limit for its cold replicas. If it does not, its replicas never count
// as cold.
func (h *Handle) SetColdBounded(bounded bool) { h.cold.bounded.Store(bounded) }

// ColdBounded reports whether the replica's service declares a rate limit for its cold replicas.
func (h *Handle) ColdBounded() bool { return h.cold.bounded.Load() }

// SetColdUntil makes the replica count as cold until the given time. It never shortens a cold period that is already known.
func (h *Handle) SetColdUntil(until time.Time) {
	for {
		known := h.cold.until.Load()
		if known != nil && !until.After(*known) {
			return
		}
		if h.cold.until.CompareAndSwap(known, &until) {
			return
		}
	}
}

// Cold reports whether the replica is in its cold period and can take only a few requests.
func (h *Handle) Cold(now time.Time) bool { return h.ColdFor(now) > 0 }

// ColdFor returns the rest of the replica's cold period; 0 if it is warm.
func (h *Handle) ColdFor(now time.Time) time.Duration {
	until := h.cold.until.Load()
	if until == nil || !h.cold.bounded.Load() {
		return 0
	}
	return max(0, until.Sub(now))
}

// WarmFor returns how long ago the replica's last cold period ended, 0 while it lasts; ever is false if it never was cold.
func (h *Handle) WarmFor(now time.Time) (since time.Duration, ever bool) {
	until := h.cold.until.Load()
	if until == nil || !h.cold.bounded.Load() {
		return 0, false
	}
	return max(0, now.Sub(*until)), true
}

// SetColdPass sets this process's share of the replica's rate limit while it is cold.
func (h *Handle) SetColdPass(pass *ColdPass) { h.cold.pass.Store(pass) }

// ColdPass returns the pass that this process holds; nil if it holds none.
func (h *Handle) ColdPass() *ColdPass { return h.cold.pass.Load() }

// ColdRoom reports whether the replica is warm, or is cold and this process's pass admits another request.
func (h *Handle) ColdRoom(now time.Time) bool {
	if !h.Cold(now) {
		return true
	}
	pass := h.ColdPass()
	return pass != nil && pass.Room(now)
}

// WantCold records that this process has requests that it could send to the cold replica.
func (h *Handle) WantCold(now time.Time) { h.cold.wantedAt.Store(&now) }

// ColdWanted reports whether WantCold was called after since.
func (h *Handle) ColdWanted(since time.Time) bool {
	wanted := h.cold.wantedAt.Load()
	return wanted != nil && wanted.After(since)
}

// usableSlots returns the replica's concurrency for capacity estimates; while it is cold, at most coldSlots.
func (h *Handle) usableSlots(now time.Time) int {
	if h.Cold(now) {
		return min(coldSlots, h.Info().Slots)
	}
	return h.Info().Slots
}

// admissionExpired reports whether a request that was admitted at admittedAt is too late to be sent, because the replica is cold and
// SendWithin has passed.
func (h *Handle) admissionExpired(admittedAt, now time.Time) bool {
	return now.Sub(admittedAt) > SendWithin && h.Cold(now)
}

// noteCold records the rest of the cold period, in milliseconds, from the response header with the given name, if present.
func (h *Handle) noteCold(header http.Header, name string, now time.Time) {
	text := header.Get(name)
	if name == "" || text == "" {
		return
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err == nil && milliseconds > 0 && milliseconds <= float64(MaxColdFor.Milliseconds()) {
		h.SetColdUntil(now.Add(time.Duration(milliseconds * float64(time.Millisecond))))
	}
}

// ColdTerms returns a service's settings for cold replicas: bounded is true if it declares a rate limit for them, and assumed is how long
// a replica that has just appeared counts as cold.
type ColdTerms func(service string) (assumed time.Duration, bounded bool)

// SetColdTerms makes replicas that appear after the first listing, or whose zone returns from an evacuation, count as cold by terms.
func (d *Directory) SetColdTerms(terms ColdTerms) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.coldTerms = terms
	for _, handle := range d.View().byID {
		_, bounded := terms(handle.Info().Service)
		handle.SetColdBounded(bounded)
	}
}

// assumeCold starts the assumed cold period of a replica that has just started or whose zone is back in use. The mutex must be held.
func (d *Directory) assumeCold(handle *Handle, now time.Time) {
	if d.coldTerms == nil {
		return
	}
	if assumed, _ := d.coldTerms(handle.Info().Service); assumed > 0 {
		handle.SetColdUntil(now.Add(assumed))
	}
}

// noteEntry applies the cold period in a replica's entry. previous is the entry known so far, nil if the replica is new. written is true
// if the entry has just been written; one that is only listed again must not restart the cold period. The mutex must be held.
func (d *Directory) noteEntry(handle *Handle, previous *Info, written bool) {
	info, now := handle.Info(), clock.Now()
	if previous == nil && d.coldTerms != nil {
		_, bounded := d.coldTerms(info.Service)
		handle.SetColdBounded(bounded)
	}
	if previous == nil && d.loaded.Load() {
		d.assumeCold(handle, now)
		d.endOthersAtAddress(handle, now)
	}
	changed := written || previous == nil || *previous != *info
	if info.ColdFor > 0 && changed {
		handle.SetColdUntil(now.Add(info.ColdFor))
	}
}
