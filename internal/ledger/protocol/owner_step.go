package protocol

// OwnerPhase is how far an Owner is.
type OwnerPhase int

// Phases of an Owner, in order.
const (
	// PhasePreparing: waiting for promises of a read quorum.
	PhasePreparing OwnerPhase = iota
	// PhaseReading: reading the tails of the stores that promised.
	PhaseReading
	// PhaseRewriting: writing under the own ballot what may have been acknowledged.
	PhaseRewriting
	// PhaseServing: taking new records.
	PhaseServing
	// PhaseLost: outranked or given up, for good.
	PhaseLost
)

// OwnerLimits bound what an Owner holds and sends.
type OwnerLimits struct {
	// BatchBytes bounds the payload of one append, WindowBytes the acknowledged records kept for slower stores.
	BatchBytes, WindowBytes int
}

// DefaultOwnerLimits returns the limits used by nodes.
func DefaultOwnerLimits() OwnerLimits {
	return OwnerLimits{BatchBytes: 1 << 20, WindowBytes: 1 << 20}
}

// Owner is one attempt to own one partition. Its ballot changes only with PrepareAgain; the driver
// drops answers to requests made under a former ballot. It belongs to one goroutine. After PhaseLost
// all methods return nothing.
//
// Invariants: records up to committed are on a write quorum; window holds the records
// windowFirst..last; nothing behind recoveredTo was acknowledged under a lower ballot.
type Owner struct {
	ballot   Ballot
	ensemble Ensemble
	limits   OwnerLimits
	// confirmed is the last ballot that a read quorum promised; resuming says that the log was
	// known under it and need not be read again.
	confirmed   Ballot
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
	proposing   proposing
}

// follower is what the Owner knows of one store of its ensemble.
type follower struct {
	member   Member
	attached bool
	promise  Promise
	// acked is the last position up to which the store's log is synced and right; known is that
	// position from before PrepareAgain, as far as it was committed: such records never change.
	acked Position
	known Position
	next  Position
	// told is the highest committed position that the store has been sent and has answered.
	told     Position
	sending  Position
	inFlight bool
	failing  bool
	// caughtUp says of a joining member that it may be made a full one; see noteCaughtUp.
	caughtUp bool
	spaceLow bool
	// failures counts failures since the last answer; a refill tries another source after each.
	failures int
	snapshot SnapshotInfo
	first    Position
}

// NewOwner returns an Owner that has not sent anything.
func NewOwner(ballot Ballot, ensemble Ensemble, limits OwnerLimits) *Owner {
	owner := &Owner{ballot: ballot, ensemble: ensemble, limits: limits}
	for _, member := range ensemble.Members {
		owner.followers = append(owner.followers, &follower{member: member})
	}
	return owner
}

// Start asks every member for a promise.
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

// Promised takes a store's answer to a Prepare. The promises of a read quorum of full members start the recovery.
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
	follower.acked, follower.next = max(promise.Committed, follower.known), promise.Committed+1
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

// Propose gives the records the next positions and sends them. The driver calls it only
// while Phase is PhaseServing. The result's first value is the position of records[0].
func (o *Owner) Propose(records []Record) (Position, []Action) {
	first := o.last + 1
	for _, record := range records {
		o.last++
		o.push(Entry{Position: o.last, Ballot: o.ballot, Born: o.ballot, Record: record})
	}
	return first, o.pumpAll()
}

// Acknowledged takes a store's answer to an Append.
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
		follower.told = max(follower.told, follower.sending)
	}
	follower.acked = max(follower.acked, min(answer.Through, o.last))
	follower.next = answer.Through + 1
	return o.advance()
}

// Fetched takes the entries that a Fetch has read, to send them on.
func (o *Owner) Fetched(store StoreID, entries []Entry) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost {
		return nil
	}
	if len(entries) == 0 || entries[0].Position != follower.next {
		return o.Failed(store)
	}
	for _, entry := range entries {
		// The source has been written by a later owner; what it holds is not this owner's log any more.
		if o.ballot.Below(entry.Ballot) {
			return o.lose(Lost{Cause: LossOutranked, Higher: entry.Ballot})
		}
	}
	return []Action{o.send(follower, entries)}
}

// SnapshotTransferred takes the answer to a TransferSnapshot.
func (o *Owner) SnapshotTransferred(store StoreID, answer Acknowledgement, info SnapshotInfo) []Action {
	if follower := o.find(store); follower != nil && answer.Verdict == VerdictOK {
		info = info.following(follower.snapshot)
		follower.snapshot = info
		follower.first = max(follower.first, min(info.KeepFrom, answer.Through+1))
	}
	return o.Acknowledged(store, answer, false)
}

// Failed says that a request to store, or a read for it, had no usable answer. Nothing
// more is sent to it until Retry.
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

// Full says that store refused records for want of room on its disk.
func (o *Owner) Full(store StoreID) []Action {
	if follower := o.find(store); follower != nil {
		follower.spaceLow = true
	}
	return o.Failed(store)
}

// Retry lets a failed store be sent to again.
func (o *Owner) Retry(store StoreID) []Action {
	follower := o.find(store)
	if follower == nil || o.phase == PhaseLost || !follower.failing {
		return nil
	}
	follower.inFlight, follower.failing = false, false
	if !follower.attached {
		return []Action{o.prepare(follower)}
	}
	return o.pump(follower)
}

// Notice tells idle stores what is committed, so that the next recovery has less to read, asks those short of
// room again, and sends on where no store could be read from before.
func (o *Owner) Notice() []Action {
	if o.phase != PhaseServing {
		return nil
	}
	actions := append(o.pumpAll(), o.sendProposals()...)
	for _, follower := range o.followers {
		idle := follower.attached && !follower.inFlight && follower.next > o.last
		if idle && (follower.told < o.committed || follower.spaceLow) {
			actions = append(actions, o.send(follower, nil))
		}
	}
	return actions
}

// GiveUp ends the attempt or ownership.
func (o *Owner) GiveUp(cause LossCause) []Action {
	if o.phase == PhaseLost {
		return nil
	}
	return o.lose(Lost{Cause: cause})
}

// advance moves committed to what a write quorum has, tells of it, and sends on.
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
	o.noteCaughtUp()
	return append(actions, o.pumpAll()...)
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
		if follower.attached && follower.acked >= position {
			holders++
		}
	}
	return holders
}

// noteCaughtUp notes joining members that have the log as far as it is acknowledged, where enough others for a
// write quorum have it too: they may be made full members.
func (o *Owner) noteCaughtUp() {
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
