package roster

import "time"

// bookmarkKept is how long a node is remembered that asks no more; after that it is sent its whole part again.
const bookmarkKept = 30 * time.Second

// bookmark is what a node has after the last answer that it was sent.
type bookmark struct {
	version uint64
	sent    map[string]*entry
	seen    time.Time
}

// bookmarks keep what each node was sent last. They are not safe for concurrent use.
type bookmarks struct {
	byNode map[string]*bookmark
	swept  time.Time
}

func newBookmarks(now time.Time) *bookmarks {
	return &bookmarks{byNode: map[string]*bookmark{}, swept: now}
}

// of returns the bookmark of a node that says that it took the answer with this version; nil where that was not the last one.
func (b *bookmarks) of(node string, version uint64, now time.Time) *bookmark {
	b.sweep(now)
	kept := b.byNode[node]
	if kept == nil || kept.version != version {
		return nil
	}
	kept.seen = now
	return kept
}

// set notes what a node is sent now, in the answer with this version.
func (b *bookmarks) set(node string, sent map[string]*entry, version uint64, now time.Time) {
	b.byNode[node] = &bookmark{version: version, sent: sent, seen: now}
}

// sweep forgets the nodes that ask no more.
func (b *bookmarks) sweep(now time.Time) {
	if now.Sub(b.swept) < bookmarkKept {
		return
	}
	b.swept = now
	for node, kept := range b.byNode {
		if now.Sub(kept.seen) >= bookmarkKept {
			delete(b.byNode, node)
		}
	}
}

// difference is what has changed of a node's part.
type difference struct {
	changed []*entry
	// left are the IDs that are no longer in it.
	left []string
}

// differs compares what a node has with what it is to have.
func differs(sent, wanted map[string]*entry) difference {
	var found difference
	for id, each := range wanted {
		if sent[id] != each {
			found.changed = append(found.changed, each)
		}
	}
	for id := range sent {
		if wanted[id] == nil {
			found.left = append(found.left, id)
		}
	}
	return found
}

func (d difference) empty() bool { return len(d.changed)+len(d.left) == 0 }
