package protocol

// Phase returns how far the owner is.
func (o *Owner) Phase() OwnerPhase { return o.phase }

// Ballot returns the owner's ballot.
func (o *Owner) Ballot() Ballot { return o.ballot }

// Ensemble returns the ensemble under which the owner prepared.
func (o *Owner) Ensemble() Ensemble { return o.ensemble }

// Committed returns the last position that a write quorum has.
func (o *Owner) Committed() Position { return o.committed }

// Last returns the last position given to a record.
func (o *Owner) Last() Position { return o.last }

// RecoveredTo returns the end of the recovery.
func (o *Owner) RecoveredTo() Position { return o.recoveredTo }

// HasRoom tells whether enough members for a write quorum have room on their disks.
func (o *Owner) HasRoom() bool {
	room := 0
	for _, follower := range o.followers {
		if !follower.spaceLow {
			room++
		}
	}
	return room >= o.ensemble.WriteQuorum
}

// Starved tells whether too few members for a write quorum can go on, because others lack acknowledged records that no
// attached store is known to have right. This happens where the one store that told the owner of the
// acknowledgement is lost before the others heard of it. They do have the records: a new ballot reads them as tails.
func (o *Owner) Starved() bool {
	if o.phase < PhaseRewriting || o.phase == PhaseLost {
		return false
	}
	starved, able := 0, 0
	for _, follower := range o.followers {
		switch {
		case !follower.attached:
		case follower.next <= o.last && !o.inWindow(follower.next) && len(o.sources(follower)) == 0:
			starved++
		default:
			able++
		}
	}
	return starved > 0 && able < o.ensemble.WriteQuorum
}

// Holding is a store with what it is known to hold.
type Holding struct {
	Member   Member
	First    Position
	Through  Position
	Snapshot SnapshotInfo
	Attached bool
	Failing  bool
	// Failures counts failures since the last answer.
	Failures int
	SpaceLow bool
	// CaughtUp says of a joining member that it may be made a full one.
	CaughtUp bool
}

// Holdings returns what each member holds, in the order of the ensemble.
func (o *Owner) Holdings() []Holding {
	holdings := make([]Holding, 0, len(o.followers))
	for _, follower := range o.followers {
		holdings = append(holdings, Holding{
			Member: follower.member, First: follower.first, Through: max(follower.acked, follower.known), Snapshot: follower.snapshot,
			Attached: follower.attached, Failing: follower.failing, Failures: follower.failures, SpaceLow: follower.spaceLow, CaughtUp: follower.caughtUp,
		})
	}
	return holdings
}

// SnapshotHeld records that store has the snapshot, after the driver has put it there.
func (o *Owner) SnapshotHeld(store StoreID, info SnapshotInfo) {
	if follower := o.find(store); follower != nil && info.UpTo > follower.snapshot.UpTo {
		follower.snapshot = info.following(follower.snapshot)
	}
}

// Trimmed records the first position that store still has.
func (o *Owner) Trimmed(store StoreID, first Position) {
	if follower := o.find(store); follower != nil {
		follower.first = max(follower.first, first)
	}
}
