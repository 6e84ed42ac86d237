package protocol

// OwnerPhase is a stage in the life of an Owner.
type OwnerPhase int

// Phases of an Owner, in order.
const (
	// PhasePreparing: waiting for promises from a read quorum.
	PhasePreparing OwnerPhase = iota
	// PhaseReading: reading the tails of the stores that promised.
	PhaseReading
	// PhaseRewriting: rewriting records that may have been acknowledged under the owner's ballot.
	PhaseRewriting
	// PhaseServing: accepting new records.
	PhaseServing
	// PhaseLost: outranked or given up; final.
	PhaseLost
)

// OwnerLimits bounds the memory and request sizes of an Owner.
type OwnerLimits struct {
	// BatchBytes bounds one append, unless it is a single entry. WindowBytes bounds the window while it holds
	// committed records that slower stores lack.
	BatchBytes, WindowBytes int
}

// DefaultOwnerLimits returns the limits used by nodes.
func DefaultOwnerLimits() OwnerLimits {
	return OwnerLimits{BatchBytes: 1 << 20, WindowBytes: 1 << 20}
}

// Owner is one attempt to own one partition. Its ballot changes only in PrepareAgain; the driver
// must drop answers to requests made under an earlier ballot. It is not safe for concurrent use. After PhaseLost
// all methods return no actions.
//
// Invariants: records up to committed are on a write quorum; window holds the records
// windowFirst..last; no position after recoveredTo was acknowledged under a lower ballot.
type Owner struct {
	ballot   Ballot
	ensemble Ensemble
	limits   OwnerLimits
	// confirmed is the last ballot that a read quorum promised.
	confirmed Ballot
	// resuming is set after PrepareAgain: the log is known from the confirmed ballot and is not read again.
	resuming    bool
	phase       OwnerPhase
	followers   []*follower
	recoveredTo Position
	committed   Position
	last        Position
	window      []Entry
	windowFirst Position
	windowBytes int
	tails       tailReading
	proposal    ensembleProposal
}

// follower is the Owner's knowledge of one store of its ensemble.
type follower struct {
	member Member
	// learner is set for a store that is not a member; see Learn. Its member is marked as joining.
	learner  bool
	attached bool
	promise  Promise
	// acked is the last position up to which the store's log is synced and equals the owner's.
	acked Position
	// priorAcked is acked from before PrepareAgain, capped at the committed position: committed records never change. A store
	// that was removed in between may have dropped them.
	priorAcked Position
	// next is the position of the next entry to send.
	next Position
	// commitAcked is the highest commit position that the store has acknowledged; commitSent is the one in
	// the request in flight.
	commitAcked Position
	commitSent  Position
	inFlight    bool
	failing     bool
	// caughtUp is set for a joining member that may be promoted, and a learner that may become one; see markCaughtUp.
	caughtUp bool
	spaceLow bool
	// failures counts failures since the last answer; fetchMissing uses it to try another source after each failure.
	failures int
	snapshot SnapshotInfo
	first    Position
}

// NewOwner returns an Owner in PhasePreparing; Start sends its first requests.
func NewOwner(ballot Ballot, ensemble Ensemble, limits OwnerLimits) *Owner {
	owner := &Owner{ballot: ballot, ensemble: ensemble, limits: limits}
	for _, member := range ensemble.Members {
		owner.followers = append(owner.followers, &follower{member: member})
	}
	return owner
}

// Start requests a promise from every member.
func (o *Owner) Start() []Action {
	var actions []Action
	for _, follower := range o.followers {
		actions = append(actions, o.prepare(follower))
	}
	return actions
}

func (o *Owner) prepare(follower *follower) Action {
	follower.inFlight = true
	return SendPrepare{Store: follower.member.Store, Prepare: Prepare{Ballot: o.ballot, Ensemble: o.ensemble}}
}

// Promised handles a store's answer to a Prepare. Promises from a read quorum of full members start the recovery.
func (o *Owner) Promised(store StoreID, promise Promise) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost {
		return nil
	}
	if promise.Verdict != VerdictOK {
		return o.lose(Lost{Cause: LossOutranked, Higher: promise.Promised, Ensemble: promise.Ensemble})
	}
	if promise.Ensemble.Version > o.ballot.Version {
		return o.lose(Lost{Cause: LossEnsembleChanged, Ensemble: promise.Ensemble})
	}
	if follower.attached {
		return nil
	}
	follower.inFlight, follower.failing, follower.attached, follower.failures = false, false, true, 0
	follower.promise = promise
	follower.priorAcked = min(follower.priorAcked, promise.Last)
	follower.acked, follower.next = max(promise.Committed, follower.priorAcked), promise.Committed+1
	follower.snapshot, follower.first = promise.Snapshot, promise.First
	if o.phase != PhasePreparing {
		if promise.Committed > o.recoveredTo && promise.Accepted != o.ballot {
			return o.lose(Lost{Cause: LossContradiction})
		}
		return o.advance()
	}
	if o.promises() < o.ensemble.ReadQuorum() {
		return nil
	}
	o.inheritProposal()
	if o.resuming {
		return o.resume()
	}
	return o.readTails()
}

func (o *Owner) promises() int {
	promises := 0
	for _, follower := range o.followers {
		if follower.attached && !follower.member.Joining {
			promises++
		}
	}
	return promises
}

// Propose assigns the next positions to the records and sends them. It returns the position of records[0].
// The driver calls it only in PhaseServing.
func (o *Owner) Propose(records []Record) (Position, []Action) {
	first := o.last + 1
	for _, record := range records {
		o.last++
		o.appendToWindow(Entry{Position: o.last, Ballot: o.ballot, Born: o.ballot, Record: record})
	}
	return first, o.sendNextToAll()
}

// Acknowledged handles a store's answer to an Append. spaceLow reports whether the store is short of disk space.
func (o *Owner) Acknowledged(store StoreID, answer Acknowledgement, spaceLow bool) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost {
		return nil
	}
	follower.inFlight, follower.failing, follower.failures = false, false, 0
	follower.spaceLow = spaceLow
	switch answer.Verdict {
	case VerdictRefused:
		return o.lose(Lost{Cause: LossOutranked, Higher: answer.Promised})
	case VerdictInvalid:
		return o.lose(Lost{Cause: LossContradiction})
	case VerdictOK:
		follower.commitAcked = max(follower.commitAcked, follower.commitSent)
	}
	follower.acked = max(follower.acked, min(answer.Through, o.last))
	follower.next = answer.Through + 1
	return o.advance()
}

// Fetched handles the entries read by a Fetch and forwards them to store.
func (o *Owner) Fetched(store StoreID, entries []Entry) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost {
		return nil
	}
	if len(entries) == 0 || entries[0].Position != follower.next {
		return o.Failed(store)
	}
	for _, entry := range entries {
		// A later owner has written to the source; its log is no longer this owner's.
		if o.ballot.Below(entry.Ballot) {
			return o.lose(Lost{Cause: LossOutranked, Higher: entry.Ballot})
		}
	}
	return []Action{o.send(follower, entries)}
}

// SnapshotTransferred handles the answer to a TransferSnapshot.
func (o *Owner) SnapshotTransferred(store StoreID, answer Acknowledgement, info SnapshotInfo) []Action {
	if follower := o.find(store); follower != nil && answer.Verdict == VerdictOK {
		info = info.following(follower.snapshot)
		follower.snapshot = info
		follower.first = max(follower.first, min(info.KeepFrom, answer.Through+1))
	}
	return o.Acknowledged(store, answer, false)
}

// Failed records that a request to store, or a read on its behalf, got no usable answer. Nothing
// more is sent to the store until Retry.
func (o *Owner) Failed(store StoreID) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost {
		return nil
	}
	follower.failing = true
	follower.failures++
	if o.phase == PhaseReading && o.tails.awaits(store) {
		return o.lose(Lost{Cause: LossUnreadable})
	}
	return nil
}

// StoreFull records that store refused records because its disk is short of space.
func (o *Owner) StoreFull(store StoreID) []Action {
	if follower := o.find(store); follower != nil {
		follower.spaceLow = true
	}
	return o.Failed(store)
}

// Retry resumes sending to a failed store.
func (o *Owner) Retry(store StoreID) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost || !follower.failing {
		return nil
	}
	follower.inFlight, follower.failing = false, false
	if !follower.attached {
		return []Action{o.prepare(follower)}
	}
	return o.sendNext(follower)
}

// Tick is called periodically. It sends the commit position to idle stores, so that the next recovery has less
// to read, probes stores that were short of disk space, asks again for outstanding ensemble proposals, and
// resumes followers for which there was no source to read from.
func (o *Owner) Tick() []Action {
	if o.phase != PhaseServing {
		return nil
	}
	actions := append(o.sendNextToAll(), o.sendProposals()...)
	for _, follower := range o.followers {
		idle := follower.attached && !follower.inFlight && follower.next > o.last
		if idle && (follower.commitAcked < o.committed || follower.spaceLow) {
			actions = append(actions, o.send(follower, nil))
		}
	}
	return actions
}

// GiveUp ends the attempt or the ownership for the given cause.
func (o *Owner) GiveUp(cause LossCause) []Action {
	if o.phase == PhaseLost {
		return nil
	}
	return o.lose(Lost{Cause: cause})
}

// advance moves the commit position to the highest one held by a write quorum, acknowledges up to it,
// and sends further records.
func (o *Owner) advance() []Action {
	if o.phase < PhaseRewriting {
		return nil
	}
	var actions []Action
	if through := o.quorumPosition(); through > o.committed {
		o.committed = through
		actions = append(actions, Acknowledge{Through: through})
	}
	if o.phase == PhaseRewriting && o.committed >= o.recoveredTo {
		o.phase = PhaseServing
		if !o.resuming {
			actions = append(actions, Recovered{Last: o.committed})
		}
		actions = append(actions, o.sendProposals()...)
	}
	o.trimWindow()
	o.markCaughtUp()
	return append(actions, o.sendNextToAll()...)
}

// quorumPosition returns the highest position that a write quorum has acknowledged.
func (o *Owner) quorumPosition() Position {
	highest := o.committed
	for _, candidate := range o.followers {
		if candidate.acked > highest && o.holders(candidate.acked) >= o.ensemble.WriteQuorum {
			highest = candidate.acked
		}
	}
	return highest
}

func (o *Owner) holders(position Position) int {
	holders := 0
	for _, follower := range o.followers {
		if follower.attached && !follower.learner && follower.acked >= position {
			holders++
		}
	}
	return holders
}

// markCaughtUp marks joining members and learners that have the committed log, provided that a write quorum has it:
// the former may be promoted to full members.
func (o *Owner) markCaughtUp() {
	if o.phase != PhaseServing || o.holders(o.committed) < o.ensemble.WriteQuorum {
		return
	}
	for _, follower := range o.followers {
		if follower.member.Joining && follower.attached && follower.acked >= o.committed {
			follower.caughtUp = true
		}
	}
}

func (o *Owner) lose(lost Lost) []Action {
	o.phase = PhaseLost
	return []Action{lost}
}

func (o *Owner) find(store StoreID) *follower {
	for _, follower := range o.followers {
		if follower.member.Store == store {
			return follower
		}
	}
	return nil
}
