package quarantine

import (
	"cmp"
	"maps"
	"math"
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

// suspect is a message in one incident: a run of it was under way when the replica ended, or may have been.
type suspect struct {
	// runDuration is the time from the start of the run to the end of the replica.
	runDuration time.Duration
	// clearedUpTo is the number of events that the message's answer had at a replica which did not end then: the message has
	// not ended this replica at an earlier point. It is entireAnswer if the message has not ended it at any point.
	clearedUpTo int
	// clearedUnqualified reports that a node of an older build, which does not tell a point, cleared the message.
	clearedUnqualified bool
	// granted reports that the message was suspected before and ran under a keeper's grant.
	granted bool
	// progressed reports that the run produced events after which a further run resumes. reached is the number of
	// events in the message's answer at that time, valid if reachedKnown is set.
	progressed   bool
	reached      int
	reachedKnown bool
	// expired reports that the run ended with its lease: the replica may have ended at any later point than reached, so that
	// no progress of the answer shows that the message did not end it.
	expired bool
	// unseen reports that no node observed how the run ended.
	unseen bool
	// item reports that the run was that of a batch item.
	item bool
	// deciding reports that the run was the deciding run of a batch item: made although one more end may reject the
	// message, and deferred by the item's owner until few replicas ended.
	deciding bool
	// logged reports that the log of an item's owner has the end. Like origin, which is how this node learned of the end,
	// it is not sent to other nodes.
	logged bool
	origin origin
}

// origin is how a node learned that a replica ended under a message.
type origin string

const (
	// originSeen: an inquiry of this node found that the replica had ended.
	originSeen origin = "seen"
	// originShared: another node reported it.
	originShared origin = "shared"
	// originRecalled: the log of the message's owner recorded it.
	originRecalled origin = "recalled"
	// originLapsed: it is assumed, because the grant of the run was not renewed.
	originLapsed origin = "lapsed"
)

// unseenRunDuration is the assumed length of a run whose end this node did not observe. It is longer than a short run,
// so that the end counts without being strong evidence.
const unseenRunDuration = shortRunDuration + time.Second

// unseenSuspect returns a suspect for a run whose end this node did not observe. The end of a recalled run was observed
// by an earlier owner, so that it is not marked as unseen.
func unseenSuspect(from origin) suspect {
	return suspect{runDuration: unseenRunDuration, unseen: from == originLapsed, origin: from}
}

// entireAnswer stands for a number of events that no point of an answer exceeds.
const entireAnswer = math.MaxUint32

// cleared reports whether the message has been shown not to have ended this replica. It follows from what only grows when
// evidence is merged, so that the order does not matter. A clearing without a point says nothing of a known point of an
// item: it may stand for an earlier run at the same replica. An item that completed is not run again.
func (s suspect) cleared() bool {
	return s.clearedBy(s.clearedUpTo) || s.clearedUnqualified && !(s.item && s.reachedKnown)
}

// clearedBy reports whether an answer that had the given number of events at a replica that did not end shows that the
// message has not ended this one.
func (s suspect) clearedBy(events int) bool {
	return events == entireAnswer || s.progressedPast(events)
}

// observed reports whether a node observed the end of the run. Nodes of older builds drop the mark of an unseen end when
// they pass it on, so that only an end with known progress counts as observed.
func (s suspect) observed() bool { return !s.unseen && s.reachedKnown }

// assumed reports whether no node known to this one observed the end of the run.
func (s suspect) assumed() bool { return s.origin == originRecalled || s.origin == originLapsed }

// incident is the end of one incarnation of a replica.
type incident struct {
	replica replica.Key
	// learnedAt is when the end of the replica was found: the earliest time that any node reported. A node that was paused
	// finds an end, or reads of it, later than it happened.
	learnedAt time.Time
	// timeAssumed reports that no known node observed the time of the end; learnedAt is then an estimate.
	timeAssumed bool
	// service is the service of the replica; empty if unknown.
	service  string
	suspects map[Key]*suspect
	// openSuspects is the number of suspects that are not cleared.
	openSuspects int
}

// evidenceStore holds the known evidence about messages. Stores are merged by adding suspects and keeping the earliest
// times, and what is known of a suspect only grows, so that the order of merging does not matter. It is not safe for
// concurrent use.
type evidenceStore struct {
	incidents map[replica.Key]*incident
	byMessage map[Key]map[replica.Key]*incident
	losses    losses
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
		known = &incident{replica: ended, learnedAt: learnedAt, timeAssumed: timeAssumed, suspects: map[Key]*suspect{}}
		e.incidents[ended] = known
	}
	known.correctTime(learnedAt, timeAssumed)
	return known
}

// correctTime merges a reported time of the incident and returns whether its time changed. An observed time replaces an
// assumed one; of two times of the same kind the earlier one is kept, whichever arrives first. Differences below the
// resolution of the messages are ignored.
func (i *incident) correctTime(learnedAt time.Time, timeAssumed bool) bool {
	switch {
	case timeAssumed && !i.timeAssumed:
		return false
	case timeAssumed == i.timeAssumed && i.learnedAt.Sub(learnedAt) < ageResolution:
		return false
	}
	i.learnedAt, i.timeAssumed = learnedAt, timeAssumed
	return true
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

// replaceSuspect replaces what is known of a suspect of the incident.
func (i *incident) replaceSuspect(message Key, replacement suspect) {
	existing := i.suspects[message]
	if !existing.cleared() {
		i.openSuspects--
	}
	if !replacement.cleared() {
		i.openSuspects++
	}
	*existing = replacement
}

// merge combines what two nodes know of the same run; the order does not matter. The shorter duration is kept: the
// assumed duration of an unobserved run exceeds that of a short run, so that an observed short run prevails.
func (s suspect) merge(other suspect) suspect {
	merged := s
	if s.assumed() {
		merged.origin = other.origin
	}
	merged.runDuration = min(s.runDuration, other.runDuration)
	merged.granted = s.granted || other.granted
	merged.unseen = (s.unseen || other.unseen) && !s.observed() && !other.observed()
	merged.item = s.item || other.item
	merged.clearedUpTo = max(s.clearedUpTo, other.clearedUpTo)
	merged.clearedUnqualified = s.clearedUnqualified || other.clearedUnqualified
	merged.progressed = s.progressed || other.progressed
	merged.reached = max(s.reached, other.reached)
	merged.reachedKnown = s.reachedKnown || other.reachedKnown
	merged.deciding = s.deciding || other.deciding
	merged.expired = s.expired || other.expired
	merged.logged = s.logged || other.logged
	return merged
}

// progressedPast reports whether an answer with the given number of events has clearly progressed past the point at
// which the replica ended.
func (s suspect) progressedPast(events int) bool {
	return s.reachedKnown && !s.expired && events > s.reached+progressMarginEvents
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

// clear marks a suspect as not responsible for the incident up to the given number of events.
func (i *incident) clear(message Key, events int) {
	cleared := *i.suspects[message]
	cleared.clearedUpTo = max(cleared.clearedUpTo, events)
	i.replaceSuspect(message, cleared)
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
			item := *suspected
			item.item = true
			end.replaceSuspect(message, item)
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

// hasRejectedSuspect reports whether an uncleared suspect of the incident is a rejected message.
func (e *evidenceStore) hasRejectedSuspect(end *incident) bool {
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
	for message := range dropped.suspects {
		delete(e.byMessage[message], dropped.replica)
		if len(e.byMessage[message]) == 0 {
			delete(e.byMessage, message)
		}
	}
}
