package quarantine

import (
	"fmt"
	"time"
)

const (
	// maxEndedReplicas is the number of replicas that may end under one message before it is rejected.
	maxEndedReplicas = 3
	// minEndsToReject is the number of ended replicas from which a message that alone explains them is rejected.
	minEndsToReject = 2
	// minEvidenceWeight is the least evidence for such a rejection. Each incident has the weight 1, shared equally by
	// its open suspects, so that 0.5 is one incident shared with one other message. An item with long runs that ran
	// beside ten messages at each of two incidents is there by chance more often than not.
	minEvidenceWeight = 0.5
	// commonCauseWindow is the time within which ends of replicas are treated as simultaneous: a crash that hits
	// several replicas, or a message that ran at several before it was suspected.
	commonCauseWindow = 30 * time.Millisecond
	// massCrashReplicas is the number of simultaneous ends from which a mass crash is assumed, which has a cause other
	// than a message.
	massCrashReplicas = 3
	// shortRunDuration is the longest run for which the end of its replica is strong evidence against the message. A
	// message that crashes replicas usually does so when it is read or soon after, while a long run is likely to be
	// there at any replica's end.
	shortRunDuration = 2 * time.Second
	// progressMarginEvents is the number of events by which an answer must exceed the point at which an earlier run
	// ended before that point is ruled out as the cause: the last events of a run are lost with its connection.
	progressMarginEvents = 16
	// maxEndedWithProgress is the number of replicas that may end under a message whose answer progresses further each
	// time.
	maxEndedWithProgress = 2 * maxEndedReplicas
	// maxUnknownProgress is the number of ends of unknown progress among those that reject an item without the end of a
	// deciding run.
	maxUnknownProgress = 1
	// weightTolerance is the least difference of two evidence weights that counts: sums of the same fractions differ by
	// rounding.
	weightTolerance = 1e-9
)

// verdict returns the verdict on a message, or on a part of prompts, from all its evidence: ended replicas, losses and
// recalled rejections.
func (e *evidenceStore) verdict(message Key) Verdict {
	if _, recalled := e.recalled[message]; recalled || e.partRejected(message) {
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

// verdictFromEnds returns the verdict that follows from the ended replicas alone.
func (e *evidenceStore) verdictFromEnds(message Key) Verdict {
	if len(e.byMessage[message]) == 0 {
		return Allowed
	}
	ended, runs := e.endCount(message), e.summarizeEndedRuns(message)
	switch {
	case e.totalEndsReach(message, maxEndedWithProgress):
		return Rejected
	case ended >= maxEndedReplicas && runs.conclusive():
		return Rejected
	case runs.anyDeciding && e.decidingEndCount(message, runs) >= maxEndedReplicas:
		return Rejected
	case !runs.itemsOnly && e.explainsEnds(message):
		return Rejected
	case ended >= minEndsToReject, ended > 0 && !runs.longItemsWithProgress:
		return Apart
	default:
		return Allowed
	}
}

// endedRunsSummary is what the runs of a message whose replicas ended have in common, counting only those that are
// evidence against it.
type endedRunsSummary struct {
	// itemsOnly reports that all were runs of batch items. Any number of such ends may be a coincidence, unless the
	// last run was made when ends were rare.
	itemsOnly bool
	// anyGranted reports that at least one ran under a keeper's grant, anyDeciding that at least one was the deciding
	// run of an item.
	anyGranted  bool
	anyDeciding bool
	// progressUnknown is the number of runs made by nodes that do not report progress. Such a node makes the last run of
	// an item at once, however many replicas end meanwhile.
	progressUnknown int
	// anyRequest reports that at least one is known to have been the run of a request.
	anyRequest bool
	// longItemsWithProgress reports that all were long runs of items that had produced events.
	longItemsWithProgress bool
}

// conclusive reports whether maxEndedReplicas such ends reject the message.
func (r endedRunsSummary) conclusive() bool {
	return !r.itemsOnly || r.anyDeciding || (r.anyGranted && r.progressUnknown <= maxUnknownProgress)
}

// summarizeEndedRuns returns the summary for a message.
func (e *evidenceStore) summarizeEndedRuns(message Key) endedRunsSummary {
	summary := endedRunsSummary{itemsOnly: true, longItemsWithProgress: true}
	for _, end := range e.byMessage[message] {
		suspected := end.suspects[message]
		if suspected.cleared() || e.countsLikeLoss(message, end) || e.answerProgressedPast(message, end) {
			continue
		}
		summary.itemsOnly = summary.itemsOnly && suspected.item
		summary.anyGranted = summary.anyGranted || suspected.granted
		summary.anyDeciding = summary.anyDeciding || suspected.deciding
		if !suspected.reachedKnown {
			summary.progressUnknown++
		}
		summary.anyRequest = summary.anyRequest || suspected.reachedKnown && !suspected.item && !suspected.logged
		summary.longItemsWithProgress = summary.longItemsWithProgress && suspected.item && suspected.progressed && suspected.runDuration > shortRunDuration
	}
	return summary
}

// isProvisional reports whether the rejection of a message may be taken back once it is known to be that of an item:
// the progress of several runs is unknown, and none was a deciding run.
func (e *evidenceStore) isProvisional(message Key) bool {
	if _, recalled := e.recalled[message]; recalled {
		return false
	}
	runs := e.summarizeEndedRuns(message)
	return runs.progressUnknown > maxUnknownProgress && !runs.anyDeciding && !runs.anyRequest
}

// nextEndRejects reports whether one more ended replica may reject the message.
func (e *evidenceStore) nextEndRejects(message Key) bool {
	return e.decidingEndCount(message, e.summarizeEndedRuns(message))+1 >= maxEndedReplicas ||
		e.totalEndsReach(message, maxEndedWithProgress-1) ||
		e.unfinishedRunCount(message)+1 >= maxUnfinishedRuns
}

// nextRunDecides reports whether the next granted run of an item is its deciding run: the message is Apart, and one more
// ended replica may reject it.
func (e *evidenceStore) nextRunDecides(message Key) bool {
	return e.verdict(message) == Apart && e.nextEndRejects(message)
}

// strongIncidents returns the incidents that are strong evidence against a message: the run was short, had produced no
// events, and the end was not simultaneous with the previous one. A run that produced events is likely to be there by
// chance, since a message that crashes replicas mostly does so when it is read.
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

// evidenceWeight sums the evidence against a message: each incident has the weight 1, shared equally by its open
// suspects.
func (e *evidenceStore) evidenceWeight(message Key) float64 {
	weight := 0.0
	for _, end := range e.byMessage[message] {
		if !end.suspects[message].cleared() && !e.answerProgressedPast(message, end) {
			weight += 1 / float64(end.openSuspects)
		}
	}
	return weight
}

// isMainSuspect reports whether there is more evidence against the message than against any other open suspect of the
// incident.
func (e *evidenceStore) isMainSuspect(message Key, end *incident) bool {
	weight := e.evidenceWeight(message)
	for other, suspected := range end.suspects {
		if other != message && !suspected.cleared() && e.evidenceWeight(other) >= weight-weightTolerance {
			return false
		}
	}
	return true
}

// explainsEnds reports whether the message alone accounts for at least minEndsToReject ends of replicas.
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

// endedRepeatedlyUnderGrant reports whether several replicas ended under the message while it ran under a grant. Its
// other ends then count even if another message explains them as well.
func (e *evidenceStore) endedRepeatedlyUnderGrant(message Key) bool {
	granted := 0
	for _, end := range e.byMessage[message] {
		if suspected := end.suspects[message]; suspected.granted && !suspected.cleared() && !e.answerProgressedPast(message, end) {
			granted++
		}
	}
	return granted >= minEndsToReject
}

// answerProgressedPast reports whether another run brought the message's answer past the point at which the replica of
// the incident ended. That point did not end the replica, since the other run continued there.
func (e *evidenceStore) answerProgressedPast(message Key, end *incident) bool {
	ended := end.suspects[message]
	for _, other := range e.byMessage[message] {
		if suspected := other.suspects[message]; suspected.progressed && ended.progressedPast(suspected.reached) {
			return true
		}
	}
	return false
}

// explainedByOther reports whether a message other than the given one accounts for the incident.
func (e *evidenceStore) explainedByOther(end *incident, except Key) bool {
	for other, suspected := range end.suspects {
		if other != except && !suspected.cleared() && len(e.byMessage[other]) >= minEndsToReject && e.isMainSuspect(other, end) && e.explainsEnds(other) {
			return true
		}
	}
	return false
}

// describeEvidence lists the open incidents of a message for the log, one text each.
func (e *evidenceStore) describeEvidence(message Key, now time.Time) []string {
	var listed []string
	for _, end := range e.openIncidents(message) {
		suspected := end.suspects[message]
		listed = append(listed, fmt.Sprintf(
			"%016x age=%s ran=%s together=%d granted=%t item=%t deciding=%t progressed=%t reached=%d progress_known=%t expired=%t passed=%t %s",
			uint64(end.replica),
			now.Sub(end.learnedAt).Round(time.Millisecond),
			suspected.runDuration,
			len(end.suspects),
			suspected.granted,
			suspected.item,
			suspected.deciding,
			suspected.progressed,
			suspected.reached,
			suspected.reachedKnown,
			suspected.expired,
			e.answerProgressedPast(message, end),
			suspected.origin,
		))
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

// knownMessages returns the messages for which there is any evidence.
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
	for part := range e.openPartEnds {
		found[part] = true
	}
	return found
}
