package protocol

// entryOverheadBytes is the size accounted for an entry in a window or batch in addition to its payload.
const entryOverheadBytes = 64

func (o *Owner) appendToWindow(entry Entry) {
	if len(o.window) == 0 {
		o.windowFirst = entry.Position
	}
	o.window = append(o.window, entry)
	o.windowBytes += entrySize(entry)
}

func entrySize(entry Entry) int { return len(entry.Record.Payload) + entryOverheadBytes }

// trimWindow drops committed records that every responding store has, and further committed records while
// the window is over its limit: a store that lacks those gets them from another store's disk.
func (o *Owner) trimWindow() {
	everywhere := o.committed
	for _, follower := range o.followers {
		if follower.attached && !follower.failing {
			everywhere = min(everywhere, follower.acked)
		}
	}
	drop := 0
	for drop < len(o.window) && o.window[drop].Position <= o.committed {
		if o.window[drop].Position > everywhere && o.windowBytes <= o.limits.WindowBytes {
			break
		}
		o.windowBytes -= entrySize(o.window[drop])
		o.window[drop] = Entry{}
		drop++
	}
	o.window = o.window[drop:]
	o.windowFirst += Position(drop)
}

func (o *Owner) sendNextToAll() []Action {
	var actions []Action
	for _, follower := range o.followers {
		actions = append(actions, o.sendNext(follower)...)
	}
	return actions
}

// sendNext sends the follower the next records that it lacks. It keeps one request in flight per follower.
func (o *Owner) sendNext(follower *follower) []Action {
	if o.phase < PhaseRewriting || o.phase == PhaseLost || !follower.attached || follower.inFlight || follower.next > o.last {
		return nil
	}
	if o.inWindow(follower.next) {
		return []Action{o.send(follower, o.batch(follower.next))}
	}
	return o.fetchMissing(follower)
}

func (o *Owner) inWindow(position Position) bool {
	return len(o.window) > 0 && position >= o.windowFirst
}

// fetchMissing requests the target's missing records, or the snapshot that covers them, from a store that
// has them. After a failure it uses another such store.
func (o *Owner) fetchMissing(target *follower) []Action {
	store := target.member.Store
	sources := o.sources(target)
	if len(sources) == 0 {
		return nil
	}
	target.inFlight = true
	source := sources[target.failures%len(sources)]
	if source.first > target.next {
		return []Action{TransferSnapshot{Store: store, Source: source.member.Store, Ballot: o.ballot, RecoveredTo: o.recoveredTo}}
	}
	to := min(source.acked, o.windowFirst-1)
	return []Action{Fetch{Store: store, Source: source.member.Store, From: target.next, To: to}}
}

// sources returns the followers that have the target's next record or a snapshot that covers it.
func (o *Owner) sources(target *follower) []*follower {
	var sources []*follower
	for _, candidate := range o.followers {
		if candidate == target || !candidate.attached || candidate.acked < target.next {
			continue
		}
		if candidate.first <= target.next || candidate.snapshot.KeepFrom > target.next {
			sources = append(sources, candidate)
		}
	}
	return sources
}

// batch returns the window's entries starting at from: at least one, and otherwise at most BatchBytes.
func (o *Owner) batch(from Position) []Entry {
	entries := o.window[from-o.windowFirst:]
	size := 0
	for i, entry := range entries {
		size += entrySize(entry)
		if size > o.limits.BatchBytes && i > 0 {
			entries = entries[:i]
			break
		}
	}
	return append([]Entry(nil), entries...)
}

func (o *Owner) send(follower *follower, entries []Entry) Action {
	follower.inFlight = true
	follower.commitSent = o.committed
	return SendAppend{Store: follower.member.Store, Append: Append{
		Ballot: o.ballot, First: follower.next, Entries: entries, Committed: o.committed, RecoveredTo: o.recoveredTo,
	}}
}
