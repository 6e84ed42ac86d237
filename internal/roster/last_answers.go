package roster

import "time"

// lastAnswerRetention is how long the last answer to a node that no longer polls is kept. After that
// the node is sent its whole part again.
const lastAnswerRetention = 30 * time.Second

// lastAnswer is the part of a node as of the last answer that was sent to it.
type lastAnswer struct {
	version  uint64
	sent     map[string]*entry
	lastSeen time.Time
}

// lastAnswers holds the last answer to each node. It is not safe for concurrent use.
type lastAnswers struct {
	byNode    map[string]*lastAnswer
	lastSweep time.Time
}

func newLastAnswers(now time.Time) *lastAnswers {
	return &lastAnswers{byNode: map[string]*lastAnswer{}, lastSweep: now}
}

// lookup returns the last answer to a node, given the version that the node reports to have. It
// returns nil if that is not the last one sent.
func (l *lastAnswers) lookup(node string, version uint64, now time.Time) *lastAnswer {
	l.sweep(now)
	last := l.byNode[node]
	if last == nil || last.version != version {
		return nil
	}
	last.lastSeen = now
	return last
}

// set records the part sent to a node in the answer with the given version.
func (l *lastAnswers) set(node string, sent map[string]*entry, version uint64, now time.Time) {
	l.byNode[node] = &lastAnswer{version: version, sent: sent, lastSeen: now}
}

// sweep drops the last answers to nodes that no longer poll.
func (l *lastAnswers) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < lastAnswerRetention {
		return
	}
	l.lastSweep = now
	for node, last := range l.byNode {
		if now.Sub(last.lastSeen) >= lastAnswerRetention {
			delete(l.byNode, node)
		}
	}
}

// partDelta is the change of a node's part.
type partDelta struct {
	changed []*entry
	// removed are the IDs that are no longer in the part.
	removed []string
}

// diffParts returns the change from the part sent to the part wanted.
func diffParts(sent, wanted map[string]*entry) partDelta {
	var delta partDelta
	for id, wantedEntry := range wanted {
		if sent[id] != wantedEntry {
			delta.changed = append(delta.changed, wantedEntry)
		}
	}
	for id := range sent {
		if wanted[id] == nil {
			delta.removed = append(delta.removed, id)
		}
	}
	return delta
}

func (d partDelta) empty() bool { return len(d.changed)+len(d.removed) == 0 }
