package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// maxIncidents bounds the incidents that are stored, maxSuspects the messages of one: more than a replica runs at
	// once. Together they keep the store below 5 MB.
	maxIncidents = 512
	maxSuspects  = 128
	// retention is how long an incident counts against its suspects: long enough for a caller's retries and for an item
	// of a batch job, short enough that a repaired model receives the message again on the same day.
	retention = 10 * time.Minute
	// ageResolution is the resolution of the ages that nodes send.
	ageResolution = time.Millisecond
)

// evidenceStore holds the known evidence about messages. Stores are merged by adding suspects and keeping the earliest
// times, and what is known of a suspect only grows, so that the order of merging does not matter. It is not safe for
// concurrent use.
type evidenceStore struct {
	incidents map[replica.Key]*incident
	byMessage map[Key]map[replica.Key]*incident
	losses    losses
	// byPart holds the incidents of each part of a prompt, openPartEnds the number of those in which it is not cleared.
	byPart       map[Key]map[*incident]bool
	openPartEnds map[Key]int
	// recalled holds the messages that were rejected before all nodes were killed, with the time at which this node
	// learned of them.
	recalled map[Key]time.Time
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{
		incidents: map[replica.Key]*incident{},
		byMessage: map[Key]map[replica.Key]*incident{},
		losses:    losses{},
		recalled:  map[Key]time.Time{},

		byPart:       map[Key]map[*incident]bool{},
		openPartEnds: map[Key]int{},
	}
}

// add merges one suspect into the incident of a replica whose end was learned of at the given time. It returns whether
// anything changed.
func (e *evidenceStore) add(ended replica.Key, learnedAt time.Time, message Key, added suspect) bool {
	return e.addSuspect(e.incidentFor(ended, learnedAt, false), message, added)
}

// incidentFor returns the incident of a replica and creates it if it is unknown.
func (e *evidenceStore) incidentFor(ended replica.Key, learnedAt time.Time, timeAssumed bool) *incident {
	known := e.incidents[ended]
	if known == nil {
		e.evictIfFull()
		known = &incident{replica: ended, learnedAt: learnedAt, timeAssumed: timeAssumed, suspects: map[Key]*suspect{}, parts: map[Key]*partSuspect{}}
		e.incidents[ended] = known
	}
	known.correctTime(learnedAt, timeAssumed)
	return known
}

// addSuspect merges one suspect into a known incident. It returns whether anything changed.
func (e *evidenceStore) addSuspect(known *incident, message Key, added suspect) bool {
	added.runDuration = added.runDuration.Truncate(time.Millisecond)
	existing := known.suspects[message]
	if existing == nil {
		if len(known.suspects) >= maxSuspects {
			return false
		}
		known.suspects[message] = &added
		if !added.cleared() {
			known.openSuspects++
		}
		if e.byMessage[message] == nil {
			e.byMessage[message] = map[replica.Key]*incident{}
		}
		e.byMessage[message][known.replica] = known
		return true
	}
	merged := existing.merge(added)
	if merged == *existing {
		return false
	}
	known.replaceSuspect(message, merged)
	return true
}

// clear marks the message as not responsible for the open incidents that are ruled out by an answer with the given number
// of events at a replica that did not end, and returns these incidents.
func (e *evidenceStore) clear(message Key, events int) []*incident {
	var cleared []*incident
	for _, end := range e.openIncidents(message) {
		if end.suspects[message].clearedBy(events) {
			end.clear(message, events)
			cleared = append(cleared, end)
		}
	}
	return cleared
}

// openIncidents returns the incidents in which the message is a suspect that is not cleared, ordered by time.
func (e *evidenceStore) openIncidents(message Key) []*incident {
	var found []*incident
	for _, end := range e.byMessage[message] {
		if !end.suspects[message].cleared() {
			found = append(found, end)
		}
	}
	slices.SortFunc(found, func(one, other *incident) int {
		return cmp.Or(one.learnedAt.Compare(other.learnedAt), cmp.Compare(one.replica, other.replica))
	})
	return found
}

// markItem marks the ends under a message that are not known to be those of a request as ends of item runs, and returns
// the incidents that changed. It marks none while the progress of all runs is known: the nodes that made them report
// which were those of items.
func (e *evidenceStore) markItem(message Key) []*incident {
	ends := e.byMessage[message]
	if !slices.ContainsFunc(slices.Collect(maps.Values(ends)), func(end *incident) bool { return !end.suspects[message].reachedKnown }) {
		return nil
	}
	var marked []*incident
	for _, end := range ends {
		if suspected := end.suspects[message]; !suspected.item && (!suspected.reachedKnown || suspected.logged) {
			ofItem := *suspected
			ofItem.item = true
			end.replaceSuspect(message, ofItem)
			marked = append(marked, end)
		}
	}
	return marked
}

// expire removes evidence that is older than retention.
func (e *evidenceStore) expire(now time.Time) {
	for _, end := range e.incidents {
		if now.Sub(end.learnedAt) >= retention {
			e.remove(end)
		}
	}
	e.losses.expire(now)
	maps.DeleteFunc(e.recalled, func(_ Key, at time.Time) bool { return now.Sub(at) >= retention })
}

// evictIfFull removes the oldest incident if the store is full, preferring one without a rejected message.
func (e *evidenceStore) evictIfFull() {
	if len(e.incidents) < maxIncidents {
		return
	}
	var oldest, oldestNotRejected *incident
	for _, end := range e.incidents {
		if oldest == nil || end.learnedAt.Before(oldest.learnedAt) {
			oldest = end
		}
		if (oldestNotRejected == nil || end.learnedAt.Before(oldestNotRejected.learnedAt)) && !e.hasRejectedSuspect(end) {
			oldestNotRejected = end
		}
	}
	if oldestNotRejected != nil {
		oldest = oldestNotRejected
	}
	e.remove(oldest)
}

// hasRejectedSuspect reports whether an uncleared suspect of the incident is a rejected message or part.
func (e *evidenceStore) hasRejectedSuspect(end *incident) bool {
	for part, suspected := range end.parts {
		if !suspected.cleared && e.partRejected(part) {
			return true
		}
	}
	for message, suspected := range end.suspects {
		if !suspected.cleared() && len(e.byMessage[message]) >= minEndsToReject && e.verdict(message) == Rejected {
			return true
		}
	}
	return false
}

// remove deletes an incident from both indexes.
func (e *evidenceStore) remove(dropped *incident) {
	delete(e.incidents, dropped.replica)
	e.removeParts(dropped)
	for message := range dropped.suspects {
		delete(e.byMessage[message], dropped.replica)
		if len(e.byMessage[message]) == 0 {
			delete(e.byMessage, message)
		}
	}
}
