package protocol

// Phase returns the owner's current phase.
func (o *Owner) Phase() OwnerPhase { return o.phase }

// Ballot returns the owner's ballot.
func (o *Owner) Ballot() Ballot { return o.ballot }

// Ensemble returns the ensemble under which the owner prepared.
func (o *Owner) Ensemble() Ensemble { return o.ensemble }

// Committed returns the last position that is held by a write quorum.
func (o *Owner) Committed() Position { return o.committed }

// Last returns the last position assigned to a record.
func (o *Owner) Last() Position { return o.last }

// RecoveredTo returns the last position of the recovered log.
func (o *Owner) RecoveredTo() Position { return o.recoveredTo }

// HasRoom reports whether enough members for a write quorum have free disk space.
func (o *Owner) HasRoom() bool {
	room := 0
	for _, follower := range o.followers {
		if !follower.learner && !follower.spaceLow {
			room++
		}
	}
	return room >= o.ensemble.WriteQuorum
}

// Starved reports whether too few members for a write quorum can make progress, because the others lack
// acknowledged records for which no attached store is a known source. This happens when the only store that
// knew the commit position is lost before the others learned it. Those do hold the records: recovery under a
// new ballot reads them as tails.
func (o *Owner) Starved() bool {
	if o.phase < PhaseRewriting || o.phase == PhaseLost {
		return false
	}
	starved, able := 0, 0
	for _, follower := range o.followers {
		switch {
		case !follower.attached || follower.learner:
		case follower.next <= o.last && !o.inWindow(follower.next) && len(o.sources(follower)) == 0:
			starved++
		default:
			able++
		}
	}
	return starved > 0 && able < o.ensemble.WriteQuorum
}

// Holding describes the records and snapshot that a store is known to hold, and its connection state.
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
	// CaughtUp is set for a joining member that may be promoted, and a learner that may become one.
	CaughtUp bool
	// Learner is set for a store that is not a member of the ensemble and counts for no quorum.
	Learner bool
}

// Holdings returns the holding of each member, in ensemble order, and then that of the learner, if there is one.
func (o *Owner) Holdings() []Holding {
	holdings := make([]Holding, 0, len(o.followers))
	for _, follower := range o.followers {
		holdings = append(holdings, Holding{
			Member: follower.member, First: follower.first, Through: max(follower.acked, follower.priorAcked), Snapshot: follower.snapshot,
			Attached: follower.attached, Failing: follower.failing, Failures: follower.failures, SpaceLow: follower.spaceLow, CaughtUp: follower.caughtUp,
			Learner: follower.learner,
		})
	}
	return holdings
}

// SnapshotHeld records that the driver has written the snapshot to store.
func (o *Owner) SnapshotHeld(store StoreID, info SnapshotInfo) {
	if follower := o.find(store); follower != nil && info.UpTo > follower.snapshot.UpTo {
		follower.snapshot = info.following(follower.snapshot)
	}
}

// Trimmed records the first position that store still holds after a trim.
func (o *Owner) Trimmed(store StoreID, first Position) {
	if follower := o.find(store); follower != nil {
		follower.first = max(follower.first, first)
	}
}
