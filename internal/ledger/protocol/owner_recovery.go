package protocol

// tailReading collects the log tails of the stores whose promises formed the read quorum.
type tailReading struct {
	waiting map[StoreID]bool
	// highest holds, by position, the entry with the highest ballot read so far.
	highest map[Position]Entry
}

func (t tailReading) awaits(store StoreID) bool { return t.waiting[store] }

// readTails starts the recovery: every record that may have been acknowledged is at or before the
// highest committed position of the quorum, or in the tails after it.
func (o *Owner) readTails() []Action {
	o.phase = PhaseReading
	o.confirmed = o.ballot
	o.tails = tailReading{waiting: map[StoreID]bool{}, highest: map[Position]Entry{}}
	for _, follower := range o.followers {
		if follower.attached && !follower.member.Joining {
			o.committed = max(o.committed, follower.promise.Committed)
		}
	}
	o.recoveredTo = o.committed
	var actions []Action
	for _, follower := range o.followers {
		if !follower.attached || follower.member.Joining {
			continue
		}
		end := o.tailEnd(follower)
		if end <= o.committed {
			continue
		}
		o.recoveredTo = max(o.recoveredTo, end)
		o.tails.waiting[follower.member.Store] = true
		follower.inFlight = true
		actions = append(actions, ReadTail{Store: follower.member.Store, From: o.tailStart(follower), To: end})
	}
	if len(actions) == 0 {
		return o.rewrite()
	}
	return actions
}

// tailStart returns the position to read from. If the follower is known to have the last committed record, that
// record is read too: no record proposed under a lower ballot than it can follow it (see validTail).
func (o *Owner) tailStart(follower *follower) Position {
	if o.committed > 0 && follower.promise.Committed >= o.committed && follower.promise.First <= o.committed {
		return o.committed
	}
	return o.committed + 1
}

// tailEnd returns the end of the follower's valid records: those of a lower ballot after
// the end of a higher ballot's recovery are invalid.
func (o *Owner) tailEnd(follower *follower) Position {
	end := follower.promise.Last
	for _, other := range o.followers {
		if other.attached && !other.member.Joining && follower.promise.Accepted.Below(other.promise.Accepted) {
			end = min(end, other.promise.RecoveredTo)
		}
	}
	return end
}

// TailRead handles the complete result of a ReadTail. Once all tails are read,
// the owner rewrites the highest-ballot record of each position under its own ballot.
func (o *Owner) TailRead(store StoreID, entries []Entry) []Action {
	follower := o.find(store)
	if follower == nil || o.phase != PhaseReading || !o.tails.awaits(store) {
		return nil
	}
	follower.inFlight = false
	delete(o.tails.waiting, store)
	for _, entry := range entries {
		if o.ballot.Below(entry.Ballot) {
			return o.lose(Lost{Cause: LossOutranked, Higher: entry.Ballot})
		}
		known, present := o.tails.highest[entry.Position]
		if !present || known.Ballot.Below(entry.Ballot) {
			o.tails.highest[entry.Position] = entry
		}
	}
	if len(o.tails.waiting) > 0 {
		return nil
	}
	return o.rewrite()
}

func (o *Owner) rewrite() []Action {
	o.phase = PhaseRewriting
	o.last = o.committed
	o.windowFirst = o.committed + 1
	for _, entry := range o.validTail() {
		o.last = entry.Position
		o.appendToWindow(entry)
	}
	o.recoveredTo = o.last
	o.recoveredTo = o.last
	o.tails = tailReading{}
	return o.advance()
}

// validTail returns the entries to write after the last committed position. An owner proposes only after all
// records that may have been acknowledged before it. So a record first proposed under a lower ballot than a
// preceding one was never acknowledged, nor was any record after it: a tail mixed from several owners' logs
// ends there.
func (o *Owner) validTail() []Entry {
	var valid []Entry
	born := o.tails.highest[o.committed].Born
	for position := o.committed + 1; position <= o.recoveredTo; position++ {
		entry, present := o.tails.highest[position]
		if !present {
			entry = Entry{Born: born, Record: Record{Kind: KindNoOperation}}
		}
		if entry.Born.Below(born) {
			return valid
		}
		born = entry.Born
		valid = append(valid, Entry{Position: position, Ballot: o.ballot, Born: born, Record: entry.Record})
	}
	return valid
}
