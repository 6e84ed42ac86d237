package replica

import "time"

// Replaced notes that another incarnation answers at the replica's address: this one has ended.
func (h *Handle) Replaced(now time.Time) { h.Ended(now) }

// Refused notes that the replica promised not to have run a request; misdirected says that another incarnation answered for it.
func (h *Handle) Refused(misdirected bool, now time.Time) {
	if misdirected {
		h.Misdirected(now)
		return
	}
	h.Rejected(now)
}

// noteAddress notes that the other replicas at the address of a new one are replaced. The mutex is held.
func (d *Directory) noteAddress(appeared *Handle, now time.Time) {
	address := appeared.Info().Address
	if !address.IsValid() {
		return
	}
	for _, other := range d.View().byID {
		if other != appeared && other.Info().Address == address {
			other.Replaced(now)
		}
	}
}

// Misdirected notes that another service answers at the replica's address. A replica that is known from a copy only takes no requests after
// that, until the key-value service names it.
func (h *Handle) Misdirected(now time.Time) {
	if h.unconfirmed.Load() {
		h.misdirected.Store(true)
	}
	h.Replaced(now)
}

// setConfirmed notes whether the key-value service itself named the replica last, or a copy of its content.
func (h *Handle) setConfirmed(confirmed bool) {
	h.unconfirmed.Store(!confirmed)
	if confirmed {
		h.misdirected.Store(false)
	}
}
