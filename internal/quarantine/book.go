package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// maxIncidents bounds the ended replicas that are remembered, maxSuspects the messages of one: more than a replica runs at once. Both
	// together keep the book below 5 MB.
	maxIncidents = 512
	maxSuspects  = 128
	// retention is how long an ended replica counts against the messages that ran there: long enough for a caller who tries again and for
	// an item of a batch job, short enough that a repaired model gets the message again on the same day.
	retention = 10 * time.Minute
)

// suspect is a message in one incident.
type suspect struct {
	runDuration time.Duration
	cleared     bool
	// granted says that it was suspected before, and ran there apart.
	granted bool
	// progressed says that the run had made events that a further run goes on behind, reached how many the message's answer had then, where that is known.
	progressed   bool
	reached      int
	reachedKnown bool
	// unseen says that no node saw the run to its end.
	unseen bool
	// item says that the run was one of an item.
	item bool
	// origin says from where this node has it; it is not sent.
	origin origin
}

// origin says from where a node has the end of a replica under a message.
type origin string

const (
	// originSeen ends were found out by an inquiry of this node.
	originSeen origin = "seen"
	// originShared ends were learned from another node.
	originShared origin = "shared"
	// originRecalled ends were in the log of the message's owner.
	originRecalled origin = "recalled"
	// originLapsed ends are supposed: the grant of a run was not renewed.
	originLapsed origin = "lapsed"
)

// unseenRunDuration stands for the length of a run that nobody here saw to its end: it counts, but speaks no more strongly against the message than a long one.
const unseenRunDuration = shortRunDuration + time.Second

// unseenSuspect returns a message whose run nobody here saw to its end. That of a recalled end was seen by an earlier owner.
func unseenSuspect(from origin) suspect {
	return suspect{runDuration: unseenRunDuration, unseen: from == originLapsed, origin: from}
}

// assumed says that nobody known here saw the run to its end.
func (s suspect) assumed() bool { return s.origin == originRecalled || s.origin == originLapsed }

// incident is the end of one incarnation of a replica.
type incident struct {
	replica   replica.Key
	learnedAt time.Time
	// timeAssumed says that nobody that is known here saw when it was; learned is then the best guess.
	timeAssumed bool
	// service is that of the replica; empty where nobody said so.
	service  string
	suspects map[Key]*suspect
	// openSuspects counts the suspects that are not cleared.
	openSuspects int
}

// evidenceStore holds the incidents that are known. Books are joined: suspects are added, and one that is cleared stays so, in any order. It is not
// safe for concurrent use.
type evidenceStore struct {
	incidents map[replica.Key]*incident
	byMessage map[Key]map[replica.Key]*incident
	losses    losses
	// recalled are the messages that were rejected before all nodes were killed, and when this node learned of them.
	recalled map[Key]time.Time
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{incidents: map[replica.Key]*incident{}, byMessage: map[Key]map[replica.Key]*incident{}, losses: losses{}, recalled: map[Key]time.Time{}}
}

// add joins one suspect of an incident that was learned of at the given time. It returns whether anything is new.
func (e *evidenceStore) add(ended replica.Key, learnedAt time.Time, message Key, added suspect) bool {
	return e.addSuspect(e.incidentFor(ended, learnedAt, false), message, added)
}

// incidentFor returns the incident of a replica, which is new where it was not known. A time that somebody saw replaces an assumed one.
func (e *evidenceStore) incidentFor(ended replica.Key, learnedAt time.Time, timeAssumed bool) *incident {
	known := e.incidents[ended]
	if known == nil {
		e.evictIfFull()
		known = &incident{replica: ended, learnedAt: learnedAt, timeAssumed: timeAssumed, suspects: map[Key]*suspect{}}
		e.incidents[ended] = known
	}
	if known.timeAssumed && !timeAssumed {
		known.learnedAt, known.timeAssumed = learnedAt, false
	}
	return known
}

// addSuspect joins one suspect of a known incident; it returns whether anything is new.
func (e *evidenceStore) addSuspect(known *incident, message Key, added suspect) bool {
	added.runDuration = added.runDuration.Truncate(time.Millisecond)
	existing := known.suspects[message]
	if existing == nil {
		if len(known.suspects) >= maxSuspects {
			return false
		}
		known.suspects[message] = &added
		if !added.cleared {
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
	if merged.cleared && !existing.cleared {
		known.openSuspects--
	}
	*existing = merged
	return true
}

// merge returns what two nodes know of the same run together, in any order. Of a run that nobody saw to its end, its length is not known: the
// shorter one was seen.
func (s suspect) merge(other suspect) suspect {
	merged := s
	if s.assumed() {
		merged.origin = other.origin
	}
	merged.runDuration = min(s.runDuration, other.runDuration)
	merged.granted = s.granted || other.granted
	merged.unseen = s.unseen && other.unseen
	merged.item = s.item || other.item
	merged.cleared = s.cleared || other.cleared
	merged.progressed = s.progressed || other.progressed
	merged.reached = max(s.reached, other.reached)
	merged.reachedKnown = s.reachedKnown || other.reachedKnown
	return merged
}

// progressedPast says that an answer of that many events has come further than where it was when the replica ended.
func (s suspect) progressedPast(events int) bool {
	return s.reachedKnown && events > s.reached+progressMarginEvents
}

// clear notes that the message did not end the replicas of those incidents in which it is suspected and that are chosen; it returns them.
func (e *evidenceStore) clear(message Key, matches func(suspected *suspect) bool) []*incident {
	var cleared []*incident
	for _, end := range e.openIncidents(message) {
		suspected := end.suspects[message]
		if !matches(suspected) {
			continue
		}
		suspected.cleared = true
		end.openSuspects--
		cleared = append(cleared, end)
	}
	return cleared
}

// openIncidents returns the incidents in which the message is suspected, in the order of time.
func (e *evidenceStore) openIncidents(message Key) []*incident {
	var found []*incident
	for _, end := range e.byMessage[message] {
		if !end.suspects[message].cleared {
			found = append(found, end)
		}
	}
	slices.SortFunc(found, func(one, other *incident) int {
		return cmp.Or(one.learnedAt.Compare(other.learnedAt), cmp.Compare(one.replica, other.replica))
	})
	return found
}

// expire drops the incidents that are older than remember.
func (e *evidenceStore) expire(now time.Time) {
	for _, end := range e.incidents {
		if now.Sub(end.learnedAt) >= retention {
			e.remove(end)
		}
	}
	e.losses.expire(now)
	maps.DeleteFunc(e.recalled, func(_ Key, at time.Time) bool { return now.Sub(at) >= retention })
}

// evictIfFull drops the oldest incident where the book is full, one without a rejected message first.
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

// hasRejectedSuspect says that a rejected message is a suspect of the incident.
func (e *evidenceStore) hasRejectedSuspect(end *incident) bool {
	for message, suspected := range end.suspects {
		if !suspected.cleared && len(e.byMessage[message]) >= minEndsToReject && e.verdict(message) == Rejected {
			return true
		}
	}
	return false
}

// remove removes an incident from both indexes.
func (e *evidenceStore) remove(dropped *incident) {
	delete(e.incidents, dropped.replica)
	for message := range dropped.suspects {
		delete(e.byMessage[message], dropped.replica)
		if len(e.byMessage[message]) == 0 {
			delete(e.byMessage, message)
		}
	}
}
