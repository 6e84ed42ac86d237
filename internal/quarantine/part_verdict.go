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
	// maxPartProbes is the number of requests that may test whether a rejected part still ends replicas. Batch items
	// test it further, since their callers cannot send them again.
	maxPartProbes = 2
	// partProbeTurn is the time for which one node may make it: nodes take turns, so that no two make it at once.
	partProbeTurn = 2 * time.Second
	// minPartProbeGap is the time between two ends from which the later one is taken for that of a probe.
	minPartProbeGap = retryDelay - time.Second
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

// partProbe is a run that tests whether a rejected part still ends replicas.
type partProbe struct {
	// failed is the number of earlier probes that ended their replicas.
	failed int
	// turn is the number of the turn in which the probe may be made, from 0.
	turn int
}

// nextPartProbe returns the probe of a rejected part that is due, if any. The first one is due retryDelay after the last end,
// or after this node learned of a recalled rejection.
func (e *evidenceStore) nextPartProbe(part Key, now time.Time) (probe partProbe, due bool) {
	ends := e.mainPartEnds(part)
	last := e.recalled[part]
	for index, end := range ends {
		if index > 0 && end.learnedAt.Sub(ends[index-1].learnedAt) >= minPartProbeGap {
			probe.failed++
		}
		if end.learnedAt.After(last) {
			last = end.learnedAt
		}
	}
	if last.IsZero() {
		return partProbe{}, false
	}
	waited := now.Sub(last) - RetryDelay(probe.failed)
	if waited < 0 {
		return partProbe{}, false
	}
	probe.turn = int(waited / partProbeTurn)
	return probe, true
}

// partServiceStable reports whether the service whose replica the part ended last has been stable for long enough to test
// the part again.
func (s *Service) partServiceStable(part Key, now time.Time) bool {
	ends := s.evidence.mainPartEnds(part)
	if len(ends) == 0 {
		return true
	}
	service := ends[len(ends)-1].service
	return s.evidence.isStable(service, len(s.directory.View().ForService(service)), retryWindow(part), now)
}
