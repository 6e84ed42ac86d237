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
	// remember is how long an ended replica counts against the messages that ran there: long enough for a caller who tries again and for
	// an item of a batch job, short enough that a repaired model gets the message again on the same day.
	remember = 10 * time.Minute
)

// suspect is a message in one incident.
type suspect struct {
	ran     time.Duration
	cleared bool
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

// unseenRun stands for the length of a run that nobody here saw to its end: it counts, but speaks no more strongly against the message than a long one.
const unseenRun = shortRun + time.Second

// unseen returns a message whose run nobody here saw to its end. That of a recalled end was seen by an earlier owner.
func unseen(from origin) suspect {
	return suspect{ran: unseenRun, unseen: from == originLapsed, origin: from}
}

// assumed says that nobody known here saw the run to its end.
func (s suspect) assumed() bool { return s.origin == originRecalled || s.origin == originLapsed }

// incident is the end of one incarnation of a replica.
type incident struct {
	replica replica.Key
	learned time.Time
	// timeAssumed says that nobody that is known here saw when it was; learned is then the best guess.
	timeAssumed bool
	// service is that of the replica; empty where nobody said so.
	service  string
	suspects map[Key]*suspect
	// open counts the suspects that are not cleared.
	open int
}

// book holds the incidents that are known. Books are joined: suspects are added, and one that is cleared stays so, in any order. It is not
// safe for concurrent use.
type book struct {
	incidents map[replica.Key]*incident
	byMessage map[Key]map[replica.Key]*incident
	losses    losses
	// recalled are the messages that were rejected before all nodes were killed, and when this node learned of them.
	recalled map[Key]time.Time
}

func newBook() *book {
	return &book{incidents: map[replica.Key]*incident{}, byMessage: map[Key]map[replica.Key]*incident{}, losses: losses{}, recalled: map[Key]time.Time{}}
}

// add joins one suspect of an incident that was learned of at the given time. It returns whether anything is new.
func (b *book) add(ended replica.Key, learned time.Time, message Key, joined suspect) bool {
	return b.addSuspect(b.incidentAt(ended, learned, false), message, joined)
}

// incidentAt returns the incident of a replica, which is new where it was not known. A time that somebody saw replaces an assumed one.
func (b *book) incidentAt(ended replica.Key, learned time.Time, timeAssumed bool) *incident {
	known := b.incidents[ended]
	if known == nil {
		b.makeRoom()
		known = &incident{replica: ended, learned: learned, timeAssumed: timeAssumed, suspects: map[Key]*suspect{}}
		b.incidents[ended] = known
	}
	if known.timeAssumed && !timeAssumed {
		known.learned, known.timeAssumed = learned, false
	}
	return known
}

// addSuspect joins one suspect of a known incident; it returns whether anything is new.
func (b *book) addSuspect(known *incident, message Key, joined suspect) bool {
	joined.ran = joined.ran.Truncate(time.Millisecond)
	before := known.suspects[message]
	if before == nil {
		if len(known.suspects) >= maxSuspects {
			return false
		}
		known.suspects[message] = &joined
		if !joined.cleared {
			known.open++
		}
		if b.byMessage[message] == nil {
			b.byMessage[message] = map[replica.Key]*incident{}
		}
		b.byMessage[message][known.replica] = known
		return true
	}
	merged := before.merge(joined)
	if merged == *before {
		return false
	}
	if merged.cleared && !before.cleared {
		known.open--
	}
	*before = merged
	return true
}

// merge returns what two nodes know of the same run together, in any order. Of a run that nobody saw to its end, its length is not known: the
// shorter one was seen.
func (s suspect) merge(other suspect) suspect {
	merged := s
	if s.assumed() {
		merged.origin = other.origin
	}
	merged.ran = min(s.ran, other.ran)
	merged.granted = s.granted || other.granted
	merged.unseen = s.unseen && other.unseen
	merged.item = s.item || other.item
	merged.cleared = s.cleared || other.cleared
	merged.progressed = s.progressed || other.progressed
	merged.reached = max(s.reached, other.reached)
	merged.reachedKnown = s.reachedKnown || other.reachedKnown
	return merged
}

// passedAt says that an answer of that many events has come further than where it was when the replica ended.
func (s suspect) passedAt(events int) bool { return s.reachedKnown && events > s.reached+passedBy }

// clear notes that the message did not end the replicas of those incidents in which it is suspected and that are chosen; it returns them.
func (b *book) clear(message Key, chosen func(ended *suspect) bool) []*incident {
	var cleared []*incident
	for _, each := range b.open(message) {
		doubt := each.suspects[message]
		if !chosen(doubt) {
			continue
		}
		doubt.cleared = true
		each.open--
		cleared = append(cleared, each)
	}
	return cleared
}

// open returns the incidents in which the message is suspected, in the order of time.
func (b *book) open(message Key) []*incident {
	var found []*incident
	for _, each := range b.byMessage[message] {
		if !each.suspects[message].cleared {
			found = append(found, each)
		}
	}
	slices.SortFunc(found, func(one, other *incident) int {
		return cmp.Or(one.learned.Compare(other.learned), cmp.Compare(one.replica, other.replica))
	})
	return found
}

// forget drops the incidents that are older than remember.
func (b *book) forget(now time.Time) {
	for _, each := range b.incidents {
		if now.Sub(each.learned) >= remember {
			b.drop(each)
		}
	}
	b.losses.forget(now)
	maps.DeleteFunc(b.recalled, func(_ Key, at time.Time) bool { return now.Sub(at) >= remember })
}

// makeRoom drops the oldest incident where the book is full, one without a rejected message first.
func (b *book) makeRoom() {
	if len(b.incidents) < maxIncidents {
		return
	}
	var oldest, oldestOpen *incident
	for _, each := range b.incidents {
		if oldest == nil || each.learned.Before(oldest.learned) {
			oldest = each
		}
		if (oldestOpen == nil || each.learned.Before(oldestOpen.learned)) && !b.holdsRejected(each) {
			oldestOpen = each
		}
	}
	if oldestOpen != nil {
		oldest = oldestOpen
	}
	b.drop(oldest)
}

// holdsRejected says that a rejected message is a suspect of the incident.
func (b *book) holdsRejected(of *incident) bool {
	for message, doubt := range of.suspects {
		if !doubt.cleared && len(b.byMessage[message]) >= enoughEnded && b.verdict(message) == Rejected {
			return true
		}
	}
	return false
}

// drop removes an incident from both indexes.
func (b *book) drop(dropped *incident) {
	delete(b.incidents, dropped.replica)
	for message := range dropped.suspects {
		delete(b.byMessage[message], dropped.replica)
		if len(b.byMessage[message]) == 0 {
			delete(b.byMessage, message)
		}
	}
}
