package replica

import (
	"net/http"
	"time"
)

// Refused notes that the replica promised, in an answer of that status, not to have run a request.
func (h *Handle) Refused(status int, now time.Time) {
	if status == http.StatusMisdirectedRequest {
		h.Misdirected(now)
		return
	}
	h.Rejected(now)
}

// noteAddress notes that the other replicas at the address of a new one have ended: it has replaced them. The mutex is held.
func (d *Directory) noteAddress(appeared *Handle, now time.Time) {
	address := appeared.Info().Address
	if !address.IsValid() {
		return
	}
	for _, other := range d.View().byID {
		if other != appeared && other.Info().Address == address {
			other.Ended(now)
		}
	}
}

// Misdirected notes that another service answers at the replica's address: this one has ended. A replica that is known from a copy only takes no requests after
// that, until the key-value service names it.
func (h *Handle) Misdirected(now time.Time) {
	if h.unconfirmed.Load() {
		h.misdirected.Store(true)
	}
	h.Ended(now)
}

// setConfirmed notes whether the key-value service itself named the replica last, or a copy of its content.
func (h *Handle) setConfirmed(confirmed bool) {
	h.unconfirmed.Store(!confirmed)
	if confirmed {
		h.misdirected.Store(false)
	}
}
