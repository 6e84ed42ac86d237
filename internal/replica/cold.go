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

// SendWithin is the longest time from a ColdPass's Take to the first byte of the request: a connection that takes longer to come up, as
// behind a cut, would gather requests that were admitted one after the other and send them at once. A connection is made within 10 ms; a
// process that has spent its processor time stands still for up to 0.1 s.
const SendWithin = 100 * time.Millisecond

// coldSlots is how many slots of a cold replica count as room: a few requests a second, each of a fraction of a second, are about one at
// a time.
const coldSlots = 1

// coldWindow is the span in which the requests of a ColdPass are counted. All that is sent within a second of time was admitted within it.
const coldWindow = time.Second + SendWithin

// ColdPass is the part of a cold replica's requests that this process may send. It is safe for concurrent use.
//
// Invariant: at most limit requests are admitted within any coldWindow, and none after until.
type ColdPass struct {
	mutex sync.Mutex
	limit int
	until time.Time
	// admitted are the times of the latest requests, the oldest first, at most limit.
	admitted []time.Time
}

// NewColdPass returns a pass for limit requests a second that ends at until.
func NewColdPass(limit int, until time.Time) *ColdPass { return &ColdPass{limit: limit, until: until} }

// Extend has the pass end at until.
func (p *ColdPass) Extend(until time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until = until
}

// Until returns when the pass ends.
func (p *ColdPass) Until() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.until
}

// Room says that Take would admit a request.
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

// Take admits a request, or returns false.
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

// coldness is what is known of a replica's being cold.
type coldness struct {
	// bounded says that the replica's service declares how many requests its cold replicas can take.
	bounded atomic.Bool
	// until is the end of the latest time for which it is known or assumed to be cold; nil where there was none.
	until atomic.Pointer[time.Time]
	pass  atomic.Pointer[ColdPass]
	// wanted is when a request last could have used the replica though it is cold; nil where none could.
	wanted atomic.Pointer[time.Time]
}

// SetColdBounded says whether the replica's service declares how many requests its cold replicas can take; where it does not, none counts as
// cold.
func (h *Handle) SetColdBounded(bounded bool) { h.cold.bounded.Store(bounded) }

// ColdBounded returns what SetColdBounded was given.
func (h *Handle) ColdBounded() bool { return h.cold.bounded.Load() }

// SetColdUntil has the replica count as cold until then, or for longer where that is known already.
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

// Cold says that the replica can take few requests now.
func (h *Handle) Cold(now time.Time) bool { return h.ColdFor(now) > 0 }

// ColdFor returns for how much longer the replica counts as cold; 0 where it is warm.
func (h *Handle) ColdFor(now time.Time) time.Duration {
	until := h.cold.until.Load()
	if until == nil || !h.cold.bounded.Load() {
		return 0
	}
	return max(0, until.Sub(now))
}

// WarmFor returns since when the replica counts as warm after it was cold; ever is false where it was not.
func (h *Handle) WarmFor(now time.Time) (since time.Duration, ever bool) {
	until := h.cold.until.Load()
	if until == nil || !h.cold.bounded.Load() {
		return 0, false
	}
	return max(0, now.Sub(*until)), true
}

// SetColdPass gives this process a pass: a part of the requests that the replica may get while it is cold.
func (h *Handle) SetColdPass(pass *ColdPass) { h.cold.pass.Store(pass) }

// ColdPass returns the pass that this process holds; nil where it holds none.
func (h *Handle) ColdPass() *ColdPass { return h.cold.pass.Load() }

// ColdRoom says that the replica is warm, or that this process may send it one more request while it is cold.
func (h *Handle) ColdRoom(now time.Time) bool {
	if !h.Cold(now) {
		return true
	}
	pass := h.ColdPass()
	return pass != nil && pass.Room(now)
}

// WantCold notes that requests of this process could use the replica though it is cold.
func (h *Handle) WantCold(now time.Time) { h.cold.wanted.Store(&now) }

// ColdWanted says that WantCold was called after since.
func (h *Handle) ColdWanted(since time.Time) bool {
	wanted := h.cold.wanted.Load()
	return wanted != nil && wanted.After(since)
}

// usableSlots returns the number of requests that the replica works on at once, for plans of what all replicas can take.
func (h *Handle) usableSlots(now time.Time) int {
	if h.Cold(now) {
		return min(coldSlots, h.Info().Slots)
	}
	return h.Info().Slots
}

// staleAdmission says that a request to a cold replica was admitted at admittedAt and may not be sent any more.
func (h *Handle) staleAdmission(admittedAt, now time.Time) bool {
	return now.Sub(admittedAt) > SendWithin && h.Cold(now)
}

// noteCold takes in what an answer says of the time that the replica stays cold.
func (h *Handle) noteCold(header http.Header, name string, now time.Time) {
	text := header.Get(name)
	if name == "" || text == "" {
		return
	}
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err == nil && milliseconds > 0 {
		h.SetColdUntil(now.Add(time.Duration(milliseconds * float64(time.Millisecond))))
	}
}

// ColdTerms says whether a service declares how many requests its cold replicas can take, and how long one that has just appeared is to count as cold.
type ColdTerms func(service string) (assumed time.Duration, bounded bool)

// SetColdTerms has replicas that appear after the first listing, or return from an evacuated zone, count as cold.
func (d *Directory) SetColdTerms(terms ColdTerms) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.coldTerms = terms
	for _, handle := range d.View().byID {
		_, bounded := terms(handle.Info().Service)
		handle.SetColdBounded(bounded)
	}
}

// assumeCold has a replica count as cold that has just started, or turned to be used again. The mutex is held.
func (d *Directory) assumeCold(handle *Handle, now time.Time) {
	if d.coldTerms == nil {
		return
	}
	if assumed, _ := d.coldTerms(handle.Info().Service); assumed > 0 {
		handle.SetColdUntil(now.Add(assumed))
	}
}

// noteEntry takes in a replica's entry; before is the one known so far, nil where the replica is new, and written says that the entry has
// just been written: one that is merely listed once more starts no cold time again. The mutex is held.
func (d *Directory) noteEntry(handle *Handle, before *Info, written bool) {
	info, now := handle.Info(), clock.Now()
	if before == nil && d.coldTerms != nil {
		_, bounded := d.coldTerms(info.Service)
		handle.SetColdBounded(bounded)
	}
	if before == nil && d.loaded.Load() {
		d.assumeCold(handle, now)
		d.noteAddress(handle, now)
	}
	news := written || before == nil || *before != *info
	if info.ColdFor > 0 && news {
		handle.SetColdUntil(now.Add(info.ColdFor))
	}
}
