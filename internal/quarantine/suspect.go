package quarantine

import (
	"math"
	"time"
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
	// retry reports that the message was rejected before, and the run was a retry of a batch item.
	retry bool
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
	merged.retry = s.retry || other.retry
	merged.expired = s.expired || other.expired
	merged.logged = s.logged || other.logged
	return merged
}

// progressedPast reports whether an answer with the given number of events has clearly progressed past the point at
// which the replica ended.
func (s suspect) progressedPast(events int) bool {
	return s.reachedKnown && !s.expired && events > s.reached+progressMarginEvents
}
