package quarantine

import (
	"slices"
)

// incidentsAgainst returns the incidents that are evidence against a message, ordered by time: the open ones that its
// answer has not progressed past.
func (e *evidenceStore) incidentsAgainst(message Key) []*incident {
	return slices.DeleteFunc(e.openIncidents(message), func(end *incident) bool { return e.answerProgressedPast(message, end) })
}

// endCount returns the number of replicas that ended under the message and count against it. It excludes ends that the
// answer has progressed past, ends that another message explains, and unseen ends: the progress of their runs is not
// known, so that they count like losses.
func (e *evidenceStore) endCount(message Key) int {
	counted, _ := e.countEnds(message, e.observedIncidentsAgainst(message))
	return counted
}

// decidingEndCount returns the number of replicas that ended under the message and count against it together with the end
// of a deciding run. For an item that includes all of a mass crash: several of its runs, one after the other, may have
// ended their replicas while others ended by chance.
func (e *evidenceStore) decidingEndCount(message Key, runs endedRunsSummary) int {
	counted, leftOut := e.countEnds(message, e.observedIncidentsAgainst(message))
	if runs.itemsOnly {
		return counted + leftOut
	}
	return counted
}

// observedIncidentsAgainst returns the incidents that are evidence against a message and do not count like losses, ordered
// by time.
func (e *evidenceStore) observedIncidentsAgainst(message Key) []*incident {
	return slices.DeleteFunc(e.incidentsAgainst(message), func(end *incident) bool { return e.countsLikeLoss(message, end) })
}

// countsLikeLoss reports whether an end counts like a loss, since no node observed how the run ended. One at exactly the
// point of an observed end counts in full: a message that crashes replicas at a point of its answer makes no event after
// it.
func (e *evidenceStore) countsLikeLoss(message Key, end *incident) bool {
	unseen := end.suspects[message]
	if !unseen.unseen {
		return false
	}
	for _, other := range e.byMessage[message] {
		seen := other.suspects[message]
		if seen.observed() && !seen.cleared() && unseen.progressed && seen.reached == unseen.reached {
			return false
		}
	}
	return true
}

// unseenEndCount returns the number of replicas that ended under the message and count like losses.
func (e *evidenceStore) unseenEndCount(message Key) int {
	count := 0
	for _, end := range e.byMessage[message] {
		if !end.suspects[message].cleared() && e.countsLikeLoss(message, end) && !e.answerProgressedPast(message, end) {
			count++
		}
	}
	return count
}

// totalEndsReach reports whether at least the given number of replicas ended under the message, including those that
// its answer has progressed past. Most messages have fewer incidents in all, for which nothing has to be counted.
func (e *evidenceStore) totalEndsReach(message Key, least int) bool {
	if len(e.byMessage[message]) < least {
		return false
	}
	counted, _ := e.countEnds(message, e.openIncidents(message))
	return counted >= least
}

// countEnds counts the given incidents of a message, which are ordered by time, without those that another message
// explains. Of a mass crash, in which the message ran at only some of the replicas, one incident counts; leftOut is the
// number of the others.
func (e *evidenceStore) countEnds(message Key, open []*incident) (ended, leftOut int) {
	countExplained := e.endedRepeatedlyUnderGrant(message)
	for index := 0; index < len(open); {
		concurrent := e.concurrentIncidents(open[index])
		counted := 0
		for index < len(open) && slices.Contains(concurrent, open[index]) {
			if countExplained || !e.explainedByOther(open[index], message) {
				counted++
			}
			index++
		}
		ended += counted
		if len(concurrent) >= massCrashReplicas && counted > 1 && counted < len(concurrent) {
			ended -= counted - 1
			leftOut += counted - 1
		}
	}
	return ended, leftOut
}

// concurrentIncidents returns the given incident and those learned of within commonCauseWindow before or after it.
func (e *evidenceStore) concurrentIncidents(first *incident) []*incident {
	var found []*incident
	for _, end := range e.incidents {
		if span := end.learnedAt.Sub(first.learnedAt).Abs(); end == first || span < commonCauseWindow {
			found = append(found, end)
		}
	}
	return found
}

// unfinishedRunCount returns the number of runs of a message that may each have ended a replica: those whose replica
// was found to have ended, and losses.
func (e *evidenceStore) unfinishedRunCount(message Key) int {
	return len(e.incidentsAgainst(message)) + e.losses.openCount(message)
}
