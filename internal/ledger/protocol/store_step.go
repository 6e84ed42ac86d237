package protocol

// StoreState is the state of one partition at one store. It is written to disk in the same
// atomic write as the records that change with it.
//
// Invariants:
//   - First <= Committed+1 <= Consistent+1 <= Last+1
//   - Snapshot.KeepFrom <= Committed+1
//   - records First..Last are present
//   - records up to Committed are committed
//   - records up to Consistent equal the log of the owner under Accepted
//   - Accepted is not above Promised
type StoreState struct {
	Promised Ballot
	// Accepted is the highest ballot under which records were accepted.
	Accepted Ballot
	// RecoveredTo is the last position of Accepted's recovery: no position after it was or ever
	// will be acknowledged under a lower ballot.
	RecoveredTo Position
	First       Position
	Committed   Position
	Consistent  Position
	Last        Position
	Snapshot    SnapshotInfo
	Ensemble    Ensemble
	// Proposal is the ensemble accepted to follow Ensemble, if any; see ProposeEnsemble.
	Proposal Proposal
}

// NewStoreState returns the state of a partition for which the store holds no records.
func NewStoreState() StoreState { return StoreState{First: 1} }

// Verdict is a store's answer to a request.
type Verdict int

// Verdicts of a store.
const (
	// VerdictOK: the request took effect.
	VerdictOK Verdict = iota + 1
	// VerdictRefused: the store has promised a higher ballot.
	VerdictRefused
	// VerdictGap: the store lacks records before the first one of the request.
	VerdictGap
	// VerdictInvalid: the request contradicts records that the store knows to be committed.
	VerdictInvalid
)

// Effect lists the writes to disk that a step requires. Removals are applied before writes.
type Effect struct {
	// Changed is set if the state must be written. EnsembleChanged is set if the ensemble must be written too;
	// it is separate because the ensemble seldom changes.
	Changed, EnsembleChanged bool
	Remove                   []Range
	Write                    []Entry
}

// Range is the positions From..To, inclusive.
type Range struct{ From, To Position }

// Prepare is a candidate owner's request for a promise of its ballot.
type Prepare struct {
	Ballot   Ballot
	Ensemble Ensemble
}

// Promise is a store's answer to a Prepare. If Verdict is VerdictRefused, only
// Promised and Ensemble are set.
type Promise struct {
	Verdict     Verdict
	Promised    Ballot
	Accepted    Ballot
	RecoveredTo Position
	First       Position
	Committed   Position
	Last        Position
	Snapshot    SnapshotInfo
	// Ensemble is the highest ensemble version that the store has seen.
	Ensemble Ensemble
	// Proposal is the next ensemble that the store has accepted, if any.
	Proposal Proposal
}

// Prepare promises the ballot unless a higher one was promised.
func (s *StoreState) Prepare(request Prepare) (Promise, Effect) {
	if request.Ballot.Below(s.Promised) {
		return Promise{Verdict: VerdictRefused, Promised: s.Promised, Ensemble: s.Ensemble}, Effect{}
	}
	changed := s.Promised != request.Ballot
	s.Promised = request.Ballot
	newer := request.Ensemble.Version > s.Ensemble.Version
	if newer {
		s.Ensemble = request.Ensemble
		s.dropObsoleteProposal()
	}
	return Promise{
		Verdict: VerdictOK, Promised: s.Promised, Accepted: s.Accepted, RecoveredTo: s.RecoveredTo,
		First: s.First, Committed: s.Committed, Last: s.Last, Snapshot: s.Snapshot, Ensemble: s.Ensemble,
		Proposal: s.Proposal,
	}, Effect{Changed: changed || newer, EnsembleChanged: newer}
}

// Append is an owner's request to write consecutive entries. Without entries it only carries the commit position.
type Append struct {
	Ballot Ballot
	// First is the position of Entries[0]; without entries, the next position.
	First       Position
	Entries     []Entry
	Committed   Position
	RecoveredTo Position
}

// Acknowledgement is a store's answer to an Append or an InstallSnapshot.
type Acknowledgement struct {
	Verdict  Verdict
	Promised Ballot
	// Through is the last position up to which the store's log equals the owner's.
	Through Position
}

// Append writes the entries if the ballot is not below the promised one and no record before them is missing.
func (s *StoreState) Append(request Append) (Acknowledgement, Effect) {
	if request.Ballot.Below(s.Promised) {
		return Acknowledgement{Verdict: VerdictRefused, Promised: s.Promised}, Effect{}
	}
	if request.RecoveredTo < s.Committed && s.Accepted != request.Ballot {
		return Acknowledgement{Verdict: VerdictInvalid, Promised: s.Promised, Through: s.Committed}, Effect{}
	}
	before := *s
	effect := s.adopt(request.Ballot, request.RecoveredTo)
	if request.First > s.Consistent+1 {
		effect.Changed = effect.Changed || s.differs(before)
		return s.acknowledge(VerdictGap), effect
	}
	for _, entry := range request.Entries {
		if entry.Position > s.Consistent {
			entry.Ballot = request.Ballot
			effect.Write = append(effect.Write, entry)
			s.Consistent = entry.Position
		}
	}
	s.Last = max(s.Last, s.Consistent)
	s.Committed = max(s.Committed, min(request.Committed, s.Consistent))
	effect.Changed = effect.Changed || len(effect.Write) > 0 || s.differs(before)
	return s.acknowledge(VerdictOK), effect
}

// Trim removes the records below keepFrom that are committed and covered by the store's snapshot.
func (s *StoreState) Trim(ballot Ballot, keepFrom Position) (Acknowledgement, Effect) {
	if ballot.Below(s.Promised) {
		return Acknowledgement{Verdict: VerdictRefused, Promised: s.Promised}, Effect{}
	}
	keepFrom = min(keepFrom, s.Snapshot.KeepFrom, s.Committed+1)
	if keepFrom <= s.First {
		return s.acknowledge(VerdictOK), Effect{}
	}
	effect := Effect{Changed: true, Remove: []Range{{s.First, keepFrom - 1}}}
	s.First = keepFrom
	return s.acknowledge(VerdictOK), effect
}

// InstallSnapshot records that the snapshot is on disk. If the store lacks records below KeepFrom, its log
// continues from KeepFrom.
func (s *StoreState) InstallSnapshot(ballot Ballot, recoveredTo Position, info SnapshotInfo) (Acknowledgement, Effect) {
	if ballot.Below(s.Promised) {
		return Acknowledgement{Verdict: VerdictRefused, Promised: s.Promised}, Effect{}
	}
	if recoveredTo < s.Committed && s.Accepted != ballot {
		return Acknowledgement{Verdict: VerdictInvalid, Promised: s.Promised, Through: s.Committed}, Effect{}
	}
	if !s.WantsSnapshot(info) {
		return s.acknowledge(VerdictOK), Effect{}
	}
	effect := s.adopt(ballot, recoveredTo)
	effect.Changed = true
	info = info.following(s.Snapshot)
	s.Snapshot = info
	if s.Consistent+1 < info.KeepFrom {
		effect.Remove = append(effect.Remove, Range{s.First, info.KeepFrom - 1})
		s.First = info.KeepFrom
		s.Consistent = info.KeepFrom - 1
		s.Last = max(s.Last, s.Consistent)
	}
	s.Committed = max(s.Committed, min(info.UpTo, s.Consistent))
	return s.acknowledge(VerdictOK), effect
}

// WantsSnapshot reports whether the snapshot is newer than the store's own or covers records that it lacks.
func (s *StoreState) WantsSnapshot(info SnapshotInfo) bool {
	return info.UpTo > s.Snapshot.UpTo || info.KeepFrom > s.Consistent+1
}

// Drop removes the partition if store, the ID of this store, is not a member of the newer ensemble. Ballots of
// older versions are refused from then on: the store must not count towards their quorums without its records.
func (s *StoreState) Drop(store StoreID, ensemble Ensemble) Effect {
	if _, member := ensemble.Find(store); member || ensemble.Version <= s.Ensemble.Version {
		return Effect{}
	}
	effect := Effect{Changed: true, EnsembleChanged: true}
	if s.First <= s.Last {
		effect.Remove = []Range{{s.First, s.Last}}
	}
	promised := s.Promised
	if barrier := (Ballot{Version: ensemble.Version}); promised.Below(barrier) {
		promised = barrier
	}
	*s = NewStoreState()
	s.Promised, s.Ensemble = promised, ensemble
	return effect
}

// adopt makes ballot the accepted one. Records after the end of its recovery were written under
// lower ballots and are invalid.
func (s *StoreState) adopt(ballot Ballot, recoveredTo Position) Effect {
	s.Promised = ballot
	if s.Accepted == ballot {
		return Effect{}
	}
	s.Accepted = ballot
	s.RecoveredTo = recoveredTo
	s.Consistent = s.Committed
	if s.Last <= recoveredTo {
		return Effect{Changed: true}
	}
	effect := Effect{Changed: true, Remove: []Range{{recoveredTo + 1, s.Last}}}
	s.Last = recoveredTo
	return effect
}

func (s *StoreState) acknowledge(verdict Verdict) Acknowledgement {
	return Acknowledgement{Verdict: verdict, Promised: s.Promised, Through: s.Consistent}
}

func (s *StoreState) differs(before StoreState) bool {
	return s.Promised != before.Promised || s.Accepted != before.Accepted || s.Committed != before.Committed ||
		s.Consistent != before.Consistent || s.Last != before.Last || s.First != before.First
}
