package replica

// Origin identifies the software that began an answer. What two versions write does not fit together, so that only a replica of the same
// version of the same service may go on with an answer. The zero Origin is that of an answer that has not begun.
type Origin struct {
	Service string
	// Version is empty if the entry of the replica that began the answer did not tell it.
	Version string
	// Incarnation is the replica that began the answer; it alone may go on if Version is empty. It is 0 if its entry did not tell when it
	// started, since a later incarnation with other software then looks the same.
	Incarnation Key
}

// IsZero reports whether the answer has not begun.
func (o Origin) IsZero() bool { return o == Origin{} }

// MayContinueAt reports whether the replica may go on with the answer.
func (o Origin) MayContinueAt(handle *Handle) bool {
	info := handle.Info()
	if info.Service != o.Service {
		return false
	}
	if o.Version == "" {
		return o.Incarnation != 0 && o.Incarnation == handle.Key()
	}
	return info.Version == o.Version
}

// Origin returns the origin of an answer that the replica begins now.
func (h *Handle) Origin() Origin {
	info := h.Info()
	origin := Origin{Service: info.Service, Version: info.Version}
	if info.Born != 0 {
		origin.Incarnation = h.key
	}
	return origin
}

// reconcileVersion returns the version to believe of the replica's incarnation once its entry tells next. An incarnation never changes its
// version: an entry without one changes nothing, and after two different ones neither is believed any more.
func (h *Handle) reconcileVersion(next string) string {
	known := h.Info().Version
	switch {
	case h.versionDisputed:
		return ""
	case next == "":
		return known
	case known != "" && known != next:
		h.versionDisputed = true
		return ""
	default:
		return next
	}
}

// isOtherIncarnation reports whether info is of a later incarnation than the handle, or may be: without start times, another version or none
// may be that of a restarted replica.
func (h *Handle) isOtherIncarnation(info Info) bool {
	known := h.Info()
	if info.Born == 0 && known.Born == 0 {
		return info.Version != known.Version
	}
	return info.Born > known.Born
}
