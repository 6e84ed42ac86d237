package hollow

import "time"

// beforeCut: a change so shortly before a cut may not get through.
const beforeCut = time.Second

// judgeSpread works out how soon each applied revision was in force on each node that
// was up all the while and not cut off.
func (w *world) judgeSpread(result *Result) {
	w.mutex.Lock()
	applied := w.applied
	w.mutex.Unlock()
	result.Applied = len(applied)
	var spread []float64
	for _, each := range w.nodes {
		each.mutex.Lock()
		history := each.inForce
		result.RevisionsBack += each.backs
		each.mutex.Unlock()
		for _, change := range applied {
			took, judged, reached := spreadOn(history, change)
			switch {
			case !judged:
			case reached && w.reachableAt(each, change.at):
				spread = append(spread, millis(took))
			case !reached && w.reachableAt(each, change.at):
				result.ConfigMissing++
			}
		}
	}
	result.ConfigSpread = spreadOf(spread)
}

// spreadOn finds when change came into force in a node's history. It is not judged
// where the node was not up from justStarted before until then, or spreadLimit after.
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
			up = change.at.Sub(entry.at) >= justStarted
		case entry.revision == revisionAtStart:
			return 0, up, false
		case up && entry.revision >= change.revision:
			// The watch may bring a revision before Apply has returned.
			return max(entry.at.Sub(change.at), 0), true, true
		}
	}
	return 0, up, false
}

// reachableAt says whether a node was not cut off then.
func (w *world) reachableAt(each *node, at time.Time) bool {
	for _, cut := range w.cuts {
		if each.region == cut.region && !at.Before(cut.from.Add(-beforeCut)) && at.Before(cut.until) {
			return false
		}
	}
	return true
}
