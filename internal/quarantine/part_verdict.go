package quarantine

import "time"

const (
	// minPartEnds is the number of replicas that must have ended under messages with a part before the part is rejected,
	// minPartMessages the number of these messages that differ: those with a deadly part need not be alike in anything
	// else, while a single message that is sent again has its own verdict.
	minPartEnds     = 4
	minPartMessages = 3
	// minPartSpan is the least time between the first and the last of these ends. A crash of many replicas at once has
	// another cause, and a sound part that was at many of them is so frequent that another answer with it begins within
	// this time.
	minPartSpan = 250 * time.Millisecond
	// maxPartProbes is the number of runs that may test whether a rejected part still ends replicas.
	maxPartProbes = 2
	// partProbeDelay is the time after the last end from which the first such run is made; the delay grows with each.
	partProbeDelay = 5 * time.Second
	// partProbeTurn is the time for which one node may make it: nodes take turns, so that no two make it at once.
	partProbeTurn = 2 * time.Second
	// minPartProbeGap is the time between two ends from which the later one is taken for that of a probe.
	minPartProbeGap = partProbeDelay - time.Second
)

// partRejected reports whether messages with the part are kept from replicas.
func (e *evidenceStore) partRejected(part Key) bool {
	if e.openPartEnds[part] < minPartEnds {
		return false
	}
	ends := e.mainPartEnds(part)
	if len(ends) < minPartEnds || distinctMessages(part, ends) < minPartMessages {
		return false
	}
	return ends[len(ends)-1].learnedAt.Sub(ends[0].learnedAt) >= minPartSpan
}

// partProbeTurnAt returns the number of the turn in which a rejected part may be tested at the given time, from 0; none
// is due before the delay has passed, or once maxPartProbes were made.
func (e *evidenceStore) partProbeTurnAt(part Key, now time.Time) (turn int, due bool) {
	ends := e.mainPartEnds(part)
	if len(ends) == 0 {
		return 0, false
	}
	probes := 0
	for index := 1; index < len(ends); index++ {
		if ends[index].learnedAt.Sub(ends[index-1].learnedAt) >= minPartProbeGap {
			probes++
		}
	}
	waited := now.Sub(ends[len(ends)-1].learnedAt) - time.Duration(1+probes)*partProbeDelay
	if probes >= maxPartProbes || waited < 0 {
		return 0, false
	}
	return int(waited / partProbeTurn), true
}
