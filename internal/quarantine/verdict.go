package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxEndedReplicas is the number of replicas that may end under one message.
	maxEndedReplicas = 3
	// minEndsToReject is the number from which on a message is rejected that alone explains them.
	minEndsToReject = 2
	// minEvidenceWeight is the least that speaks against such a message, where an end weighs 1, shared by all that ran there: as much as one end
	// beside one other. A long item that ran beside ten at each of two ends is there by chance more often than not.
	minEvidenceWeight = 0.5
	// commonCauseWindow is the time within which replicas that end are taken to have ended together: a crash that strikes several, or a message
	// that was at several when it was not suspected yet.
	commonCauseWindow = 30 * time.Millisecond
	// massCrashReplicas is the number of replicas from which on such a crash has a cause of its own.
	massCrashReplicas = 3
	// shortRunDuration is the length of a run up to which the end of its replica speaks strongly against the message: what ends a replica does so
	// when it is read or soon after, while a long run is likely to be there at any replica's end.
	shortRunDuration = 2 * time.Second
	// progressMarginEvents is the number of events by which an answer must have come further than where an earlier run ended, for that point not to be what ended
	// its replica: the last events of a run are lost with the connection.
	progressMarginEvents = 16
	// maxEndedWithProgress is the number of replicas that may end under a message which comes further with each of them.
	maxEndedWithProgress = 2 * maxEndedReplicas
	// weightTolerance is the least difference of two weights that counts: sums of the same fractions differ by their rounding.
	weightTolerance = 1e-9
)

// verdict says what is known of a message.
func (e *evidenceStore) verdict(message Key) Verdict {
	if _, recalled := e.recalled[message]; recalled {
		return Rejected
	}
	lost, unseen := e.losses.openCount(message), e.unseenEndCount(message)
	switch ends := e.verdictFromEnds(message); {
	case ends == Rejected, lost+unseen > 0 && e.unfinishedRunCount(message) >= maxUnfinishedRuns:
		return Rejected
	case lost >= minLossesForApart, unseen > 0:
		return Apart
	default:
		return ends
	}
}

// verdictFromEnds says what follows from the replicas that ended.
func (e *evidenceStore) verdictFromEnds(message Key) Verdict {
	if len(e.byMessage[message]) == 0 {
		return Allowed
	}
	ended, runs := e.endCount(message), e.summarizeEndedRuns(message)
	switch {
	case e.totalEndsReach(message, maxEndedWithProgress):
		return Rejected
	case ended >= maxEndedReplicas && (!runs.itemsOnly || runs.anyGranted):
		return Rejected
	case !runs.itemsOnly && e.explainsEnds(message):
		return Rejected
	case ended >= minEndsToReject, ended > 0 && !runs.longItemsWithProgress:
		return Apart
	default:
		return Allowed
	}
}

// endedRunsSummary is what the runs of a message have in common whose replicas ended, as far as they speak against it.
type endedRunsSummary struct {
	// itemsOnly says that all of them were runs of items. Such ends may be by chance, however many there are, unless the last run was made when that is unlikely.
	itemsOnly bool
	// anyGranted says that one of them ran apart.
	anyGranted bool
	// longItemsWithProgress says that all of them were runs of items that were long and had made events.
	longItemsWithProgress bool
}

func (e *evidenceStore) summarizeEndedRuns(message Key) endedRunsSummary {
	found := endedRunsSummary{itemsOnly: true, longItemsWithProgress: true}
	for _, end := range e.byMessage[message] {
		suspected := end.suspects[message]
		if suspected.cleared || suspected.unseen || e.answerProgressedPast(message, end) {
			continue
		}
		found.itemsOnly = found.itemsOnly && suspected.item
		found.anyGranted = found.anyGranted || suspected.granted
		found.longItemsWithProgress = found.longItemsWithProgress && suspected.item && suspected.progressed && suspected.runDuration > shortRunDuration
	}
	return found
}

// nextEndRejects says that the message is rejected if its next run ends one more replica.
func (e *evidenceStore) nextEndRejects(message Key) bool {
	return e.endCount(message)+1 >= maxEndedReplicas || e.totalEndsReach(message, maxEndedWithProgress-1) || e.unfinishedRunCount(message)+1 >= maxUnfinishedRuns
}

// strongIncidents returns the incidents that speak strongly against a message: each soon after it came there, before it had made anything, and at a time of its own.
// A run that made events is likely to be there by chance: what ends a replica mostly does so when it is read.
func (e *evidenceStore) strongIncidents(message Key) []*incident {
	var found []*incident
	for _, end := range e.incidentsAgainst(message) {
		if suspected := end.suspects[message]; suspected.runDuration > shortRunDuration || suspected.progressed {
			continue
		}
		if last := len(found) - 1; last >= 0 && end.learnedAt.Sub(found[last].learnedAt) < commonCauseWindow {
			continue
		}
		found = append(found, end)
	}
	return found
}

// evidenceWeight is what speaks against a message: each incident is one, shared by the messages that ran there.
func (e *evidenceStore) evidenceWeight(message Key) float64 {
	weight := 0.0
	for _, end := range e.byMessage[message] {
		if !end.suspects[message].cleared && !e.answerProgressedPast(message, end) {
			weight += 1 / float64(end.openSuspects)
		}
	}
	return weight
}

// isMainSuspect says that more speaks against the message than against any other that ran there.
func (e *evidenceStore) isMainSuspect(message Key, end *incident) bool {
	weight := e.evidenceWeight(message)
	for other, suspected := range end.suspects {
		if other != message && !suspected.cleared && e.evidenceWeight(other) >= weight-weightTolerance {
			return false
		}
	}
	return true
}

// explainsEnds says that the message alone accounts for several ends of replicas.
func (e *evidenceStore) explainsEnds(message Key) bool {
	ends, evidence := 0, 0.0
	for _, end := range e.strongIncidents(message) {
		if e.isMainSuspect(message, end) {
			ends++
			evidence += 1 / float64(end.openSuspects)
		}
	}
	return ends >= minEndsToReject && evidence >= minEvidenceWeight
}

// endedRepeatedlyUnderGrant says that several replicas ended under the message when it ran apart: then what another message explains may be of this one as
// well.
func (e *evidenceStore) endedRepeatedlyUnderGrant(message Key) bool {
	granted := 0
	for _, end := range e.byMessage[message] {
		if suspected := end.suspects[message]; suspected.granted && !suspected.cleared && !e.answerProgressedPast(message, end) {
			granted++
		}
	}
	return granted >= minEndsToReject
}

// answerProgressedPast says that the message's answer has come further than where it was when the replica ended. The point at which that run ended is not what ended its
// replica, since a further run went on there.
func (e *evidenceStore) answerProgressedPast(message Key, end *incident) bool {
	ended := end.suspects[message]
	for _, other := range e.byMessage[message] {
		if suspected := other.suspects[message]; suspected.progressed && ended.progressedPast(suspected.reached) {
			return true
		}
	}
	return false
}

// incidentsAgainst returns the incidents that speak against a message, in the order of time: those whose point its answer has passed do not.
func (e *evidenceStore) incidentsAgainst(message Key) []*incident {
	return slices.DeleteFunc(e.openIncidents(message), func(end *incident) bool { return e.answerProgressedPast(message, end) })
}

// endCount returns the number of replicas that ended under the message, without those that do not speak against it, those whose end another message
// explains and those that nobody saw: what the run had made there is not known, so that it counts like a loss.
func (e *evidenceStore) endCount(message Key) int {
	observed := slices.DeleteFunc(e.incidentsAgainst(message), func(end *incident) bool { return end.suspects[message].unseen })
	return e.countEnds(message, observed)
}

// unseenEndCount returns the number of replicas that ended under the message while nobody saw how its run ended.
func (e *evidenceStore) unseenEndCount(message Key) int {
	count := 0
	for _, end := range e.byMessage[message] {
		if suspected := end.suspects[message]; suspected.unseen && !suspected.cleared && !e.answerProgressedPast(message, end) {
			count++
		}
	}
	return count
}

// totalEndsReach says that at least so many replicas ended under the message, those whose point its answer has passed among them. Most messages have fewer ends of
// any kind, which need not be weighed.
func (e *evidenceStore) totalEndsReach(message Key, least int) bool {
	return len(e.byMessage[message]) >= least && e.countEnds(message, e.openIncidents(message)) >= least
}

// countEnds counts incidents of a message, which are in the order of time. Of a crash that struck many replicas together, the message at some of them only, one
// counts.
func (e *evidenceStore) countEnds(message Key, open []*incident) int {
	doubtful := e.endedRepeatedlyUnderGrant(message)
	ended := 0
	for index := 0; index < len(open); {
		together := e.concurrentIncidents(open[index])
		counted := 0
		for index < len(open) && slices.Contains(together, open[index]) {
			if doubtful || !e.explainedByOther(open[index], message) {
				counted++
			}
			index++
		}
		if len(together) >= massCrashReplicas && counted < len(together) {
			counted = min(counted, 1)
		}
		ended += counted
	}
	return ended
}

// concurrentIncidents returns first and the incidents that were learned of within sameCause before or after it.
func (e *evidenceStore) concurrentIncidents(first *incident) []*incident {
	var found []*incident
	for _, end := range e.incidents {
		if span := end.learnedAt.Sub(first.learnedAt).Abs(); end == first || span < commonCauseWindow {
			found = append(found, end)
		}
	}
	return found
}

// unfinishedRunCount counts the runs of a message that may each have ended a replica: those whose replica was found to have ended, and those that were lost.
func (e *evidenceStore) unfinishedRunCount(message Key) int {
	return len(e.incidentsAgainst(message)) + e.losses.openCount(message)
}

// explainedByOther says that another message than the given one accounts for the incident.
func (e *evidenceStore) explainedByOther(end *incident, except Key) bool {
	for other, suspected := range end.suspects {
		if other != except && !suspected.cleared && len(e.byMessage[other]) >= minEndsToReject && e.isMainSuspect(other, end) && e.explainsEnds(other) {
			return true
		}
	}
	return false
}

// describeEvidence lists the ends of replicas that speak against a message, for the log.
func (e *evidenceStore) describeEvidence(message Key, now time.Time) []string {
	var listed []string
	for _, end := range e.openIncidents(message) {
		suspected := end.suspects[message]
		listed = append(listed, fmt.Sprintf("%016x age=%s ran=%s together=%d granted=%t progressed=%t reached=%d passed=%t %s", uint64(end.replica),
			now.Sub(end.learnedAt).Round(time.Millisecond), suspected.runDuration, len(end.suspects), suspected.granted, suspected.progressed, suspected.reached, e.answerProgressedPast(message, end), suspected.origin))
	}
	return listed
}

// verdictCounts returns the numbers of messages that are suspected and rejected.
func (e *evidenceStore) verdictCounts() (suspected, rejected int) {
	for message := range e.knownMessages() {
		switch e.verdict(message) {
		case Apart:
			suspected++
		case Rejected:
			rejected++
		}
	}
	return suspected, rejected
}

// knownMessages returns the messages of which something is known.
func (e *evidenceStore) knownMessages() map[Key]bool {
	found := map[Key]bool{}
	for message := range e.byMessage {
		found[message] = true
	}
	for message := range e.losses {
		found[message] = true
	}
	for message := range e.recalled {
		found[message] = true
	}
	return found
}
