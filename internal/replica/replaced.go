package replica

import (
	"net/http"
	"time"
)

// Refused records a response with the given status by which the replica guarantees that the request has not run.
func (h *Handle) Refused(status int, now time.Time) {
	if status == http.StatusMisdirectedRequest {
		h.NoteMisdirected(now)
		return
	}
	h.Rejected(now)
}

// endOthersAtAddress marks the other replicas at a new replica's address as ended, since it has replaced them. The mutex must be held.
func (d *Directory) endOthersAtAddress(appeared *Handle, now time.Time) {
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

// NoteMisdirected records that another service answers at the replica's address, so that this replica has ended. A replica that is known only
// from a copy of the directory receives no more requests until the key-value service confirms it.
func (h *Handle) NoteMisdirected(now time.Time) {
	if h.unconfirmed.Load() {
		h.misdirected.Store(true)
	}
	h.Ended(now)
}

// setConfirmed records whether the replica's latest entry came from the key-value service itself or from a copy of its content.
func (h *Handle) setConfirmed(confirmed bool) {
	h.unconfirmed.Store(!confirmed)
	if confirmed {
		h.misdirected.Store(false)
	}
}
