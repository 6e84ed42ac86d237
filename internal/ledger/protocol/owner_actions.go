package protocol

// Action is what an Owner asks its driver to do. Each request to a store is answered by one call
// of the Owner's method that the action names, or by Failed.
type Action interface{ action() }

// SendPrepare asks Store for a promise; answered by Promised.
type SendPrepare struct {
	Store   StoreID
	Prepare Prepare
}

// ReadTail reads From..To at Store, which has promised; answered by TailRead.
type ReadTail struct {
	Store    StoreID
	From, To Position
}

// SendAppend sends entries to Store; answered by Acknowledged.
type SendAppend struct {
	Store  StoreID
	Append Append
}

// Fetch reads acknowledged entries From..To at Source for Store, which lacks them; answered by Fetched.
type Fetch struct {
	Store, Source StoreID
	From, To      Position
}

// TransferSnapshot copies Source's snapshot to Store, which lacks records that are trimmed; answered
// by SnapshotTransferred.
type TransferSnapshot struct {
	Store, Source StoreID
	Ballot        Ballot
	RecoveredTo   Position
}

// SendProposal asks Store to accept the next ensemble; answered by ProposalAnswered, or by ProposalFailed.
type SendProposal struct {
	Store    StoreID
	Proposal Proposal
}

// EnsembleDecided says that Ensemble follows the owner's, whatever becomes of the owner.
type EnsembleDecided struct{ Ensemble Ensemble }

// Acknowledge says that every record up to Through is on a write quorum.
type Acknowledge struct{ Through Position }

// Recovered says that the whole log up to Last is on a write quorum and the owner may serve.
type Recovered struct{ Last Position }

// Lost says that the ballot is lost or cannot be won; the Owner does nothing any more.
// Higher is the ballot that outranks it, or zero. Ensemble is set where a newer version was met.
type Lost struct {
	Cause    LossCause
	Higher   Ballot
	Ensemble Ensemble
}

// LossCause tells why a ballot was lost.
type LossCause string

// Causes of a loss.
const (
	// LossOutranked: a store has promised a higher ballot.
	LossOutranked LossCause = "outranked"
	// LossReleased: the owner gave the partition up.
	LossReleased LossCause = "released"
	// LossDeclined: the present owner serves well and keeps the partition.
	LossDeclined LossCause = "declined"
	// LossUnreadable: a record that recovery needs could not be read; another ballot may do better.
	LossUnreadable LossCause = "unreadable"
	// LossTimeout: too few stores answered in time.
	LossTimeout LossCause = "timeout"
	// LossEnsembleChanged: the ensemble has a newer version, under which the owner prepares again.
	LossEnsembleChanged LossCause = "ensemble_changed"
	// LossContradiction: a store contradicts what recovery found; a broken invariant.
	LossContradiction LossCause = "contradiction"
)

func (SendPrepare) action()      {}
func (ReadTail) action()         {}
func (SendAppend) action()       {}
func (Fetch) action()            {}
func (TransferSnapshot) action() {}
func (SendProposal) action()     {}
func (EnsembleDecided) action()  {}
func (Acknowledge) action()      {}
func (Recovered) action()        {}
func (Lost) action()             {}
