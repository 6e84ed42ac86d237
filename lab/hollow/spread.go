package hollow

import "time"

// cutLead is the time before a region's isolation in which a change may not reach it any more.
const cutLead = time.Second

// judgeSpread computes how long each applied revision took to be in force on each node
// that was up and reachable.
func (w *world) judgeSpread(result *Result) {
	w.mutex.Lock()
	applied := w.applied
	w.mutex.Unlock()
	result.Applied = len(applied)
	var spread []float64
	for _, target := range w.nodes {
		target.mutex.Lock()
		history := target.inForce
		result.RevisionsBack += target.decreases
		target.mutex.Unlock()
		for _, change := range applied {
			took, judged, reached := spreadOn(history, change)
			switch {
			case !judged:
			case reached && w.reachableAt(target, change.at):
				spread = append(spread, millis(took))
			case !reached && w.reachableAt(target, change.at):
				result.ConfigMissing++
			}
		}
	}
	result.ConfigSpread = spreadOf(spread)
}

// spreadOn returns how long change took to come into force by a node's history. judged is
// false if the node was not up from minUptimeAtChange before the change until the revision was
// in force or spreadLimit had passed; reached is false if the revision never came into force.
func spreadOn(history []revisionAt, change revisionAt) (took time.Duration, judged, reached bool) {
	up := false
	for _, entry := range history {
		before := entry.at.Before(change.at)
		switch {
		case entry.revision == revisionAtEnd && before:
			up = false
		case entry.revision == revisionAtEnd && up:
			return 0, entry.at.Sub(change.at) > spreadLimit, false
		case entry.revision == revisionAtStart && before:
			up = change.at.Sub(entry.at) >= minUptimeAtChange
		case entry.revision == revisionAtStart:
			return 0, up, false
		case up && entry.revision >= change.revision:
			// The watch may deliver a revision before Apply returns.
			return max(entry.at.Sub(change.at), 0), true, true
		}
	}
	return 0, up, false
}

// reachableAt reports whether the node's region was not isolated at that time.
func (w *world) reachableAt(target *node, at time.Time) bool {
	for _, cut := range w.cuts {
		if target.region == cut.region && !at.Before(cut.from.Add(-cutLead)) && at.Before(cut.until) {
			return false
		}
	}
	return true
}
