package replica

// Origin identifies the software that began an answer. What two versions write does not fit together, so that only a replica of the same
// version of the same service may go on with an answer. The zero Origin is that of an answer that has not begun.
type Origin struct {
	Service string
	// Version is empty if it was not known when the answer began.
	Version string
	// Incarnation is the replica that began the answer. It alone may go on if Version is empty.
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
		// Without a start time a later incarnation with other software has the same key.
		return info.Born != 0 && o.Incarnation == handle.Key()
	}
	return info.Version == o.Version
}

// Origin returns the origin of an answer that the replica begins now.
func (h *Handle) Origin() Origin {
	info := h.Info()
	return Origin{Service: info.Service, Version: info.Version, Incarnation: h.key}
}

// Contradicts reports whether the entries of the replica that began an answer told another version than the origin, so that neither is
// believed.
func (v *View) Contradicts(origin Origin) bool {
	if origin.Version == "" {
		return false
	}
	for _, handle := range v.ForService(origin.Service) {
		if handle.Key() == origin.Incarnation {
			claims := handle.Info().claims
			return claims.disputed || claims.version != "" && claims.version != origin.Version
		}
	}
	return false
}

// versionClaims is what the entries of one replica have told of its version.
type versionClaims struct {
	// version is the version that they told, empty if none did.
	version string
	// disputed is true once they told two.
	disputed bool
}

// withBelievedVersion returns a new entry of a replica with the version to believe after the entry before, nil if there was none. An
// incarnation never changes its version. Where entries have no start times, another version is that of a restarted replica or the work of
// another writer: then neither is believed any more.
func (i Info) withBelievedVersion(before *Info) Info {
	if before == nil || i.Born > before.Born {
		i.claims = versionClaims{version: i.Version}
		return i
	}
	i.claims = before.claims
	switch {
	case i.claims.disputed:
	case i.claims.version == "":
		i.claims.version = i.Version
	case i.Version != "" && i.Version != i.claims.version:
		i.claims.disputed = true
	}
	if i.claims.disputed {
		i.Version = ""
	}
	if i.Version == "" && !i.claims.disputed && i.Born != 0 {
		// The same incarnation: its version is not lost with one entry.
		i.Version = i.claims.version
	}
	return i
}

// isOtherIncarnation reports whether an entry is of a later incarnation than the one before, or may be: without start times, another version
// or none may be that of a restarted replica.
func (i Info) isOtherIncarnation(before *Info) bool {
	if i.Born == 0 && before.Born == 0 {
		return i.Version != before.Version
	}
	return i.Born > before.Born
}
