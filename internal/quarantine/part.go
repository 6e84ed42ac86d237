package quarantine

import (
	"encoding/binary"
	"slices"
	"time"
)

// partSuspect is a shared part of a prompt in one incident: the answer to a message with that part had not begun when the
// replica ended.
type partSuspect struct {
	// message identifies one of the messages with the part that ran there: the one with the smallest digest.
	message uint64
	// position is the place of the part in the prompt, from 0.
	position int
	// cleared reports that an answer to a message with the part has begun since the incident.
	cleared bool
}

// partSuspectOf returns the suspect for a part of a message.
func partSuspectOf(message Key, position int) partSuspect {
	return partSuspect{message: binary.BigEndian.Uint64(message[:]), position: position}
}

// merge combines what two nodes know of the same part in the same incident; the order does not matter.
func (s partSuspect) merge(other partSuspect) partSuspect {
	return partSuspect{
		message:  min(s.message, other.message),
		position: max(s.position, other.position),
		cleared:  s.cleared || other.cleared,
	}
}

// addPart merges a part into a known incident. It returns whether anything changed.
func (e *evidenceStore) addPart(known *incident, part Key, added partSuspect) bool {
	existing := known.parts[part]
	if existing == nil {
		if len(known.parts) >= maxSuspects {
			return false
		}
		known.parts[part] = &added
		if e.byPart[part] == nil {
			e.byPart[part] = map[*incident]bool{}
		}
		e.byPart[part][known] = true
		e.countOpenPart(part, !added.cleared, 1)
		return true
	}
	merged := existing.merge(added)
	if merged == *existing {
		return false
	}
	if merged.cleared != existing.cleared {
		e.countOpenPart(part, true, -1)
	}
	*existing = merged
	return true
}

// countOpenPart adds change to the number of incidents in which the part is open, if it is.
func (e *evidenceStore) countOpenPart(part Key, open bool, change int) {
	if !open {
		return
	}
	e.openPartEnds[part] += change
	if e.openPartEnds[part] == 0 {
		delete(e.openPartEnds, part)
	}
}

// removeParts deletes the parts of an incident that is removed from the indexes.
func (e *evidenceStore) removeParts(dropped *incident) {
	for part, suspected := range dropped.parts {
		delete(e.byPart[part], dropped)
		if len(e.byPart[part]) == 0 {
			delete(e.byPart, part)
		}
		e.countOpenPart(part, !suspected.cleared, -1)
	}
}

// clearPart marks the part as not responsible for its open incidents, and returns these.
func (e *evidenceStore) clearPart(part Key) []*incident {
	var cleared []*incident
	for end := range e.byPart[part] {
		if suspected := end.parts[part]; !suspected.cleared {
			suspected.cleared = true
			cleared = append(cleared, end)
		}
	}
	delete(e.openPartEnds, part)
	return cleared
}

// mainPartEnds returns the incidents that the part explains best, ordered by time: in each of them it is open, and every
// other open part is open in fewer incidents. Of parts that are open in equally many, the later one in the prompt explains
// them, since fewer requests hold it. A mass crash that reached replicas without the part has another cause.
func (e *evidenceStore) mainPartEnds(part Key) []*incident {
	var found []*incident
	for end := range e.byPart[part] {
		if end.hasOpenPart(part) && e.isMainPart(part, end) && !e.inMassCrashWithout(part, end) {
			found = append(found, end)
		}
	}
	slices.SortFunc(found, func(one, other *incident) int { return one.learnedAt.Compare(other.learnedAt) })
	return found
}

// hasOpenPart reports whether the part may have ended the replica.
func (i *incident) hasOpenPart(part Key) bool {
	suspected := i.parts[part]
	return suspected != nil && !suspected.cleared
}

// inMassCrashWithout reports whether the incident belongs to a mass crash in which other replicas ended without the part.
func (e *evidenceStore) inMassCrashWithout(part Key, end *incident) bool {
	concurrent := e.concurrentIncidents(end)
	if len(concurrent) < massCrashReplicas {
		return false
	}
	return slices.ContainsFunc(concurrent, func(other *incident) bool { return !other.hasOpenPart(part) })
}

func (e *evidenceStore) isMainPart(part Key, end *incident) bool {
	own, open := end.parts[part], e.openPartEnds[part]
	for other, suspected := range end.parts {
		if other == part || suspected.cleared {
			continue
		}
		if count := e.openPartEnds[other]; count > open || count == open && suspected.position >= own.position {
			return false
		}
	}
	return true
}

// distinctMessages returns the number of messages with the part at the given incidents, one counted for each.
func distinctMessages(part Key, ends []*incident) int {
	messages := map[uint64]bool{}
	for _, end := range ends {
		messages[end.parts[part].message] = true
	}
	return len(messages)
}

// evidenceOfPart describes the incidents of a part for the log.
func (e *evidenceStore) evidenceOfPart(part Key) (open, explained, messages int, span time.Duration) {
	ends := e.mainPartEnds(part)
	if len(ends) > 0 {
		span = ends[len(ends)-1].learnedAt.Sub(ends[0].learnedAt)
	}
	return e.openPartEnds[part], len(ends), distinctMessages(part, ends), span
}
