package protocol

// Action is an instruction from an Owner to its driver. The driver answers each request to a store with one
// call of the Owner method that the action's comment names, or of Failed.
type Action interface{ action() }

// SendPrepare asks Store for a promise; answered by Promised.
type SendPrepare struct {
	Store   StoreID
	Prepare Prepare
}

// ReadTail reads entries From..To at Store, which has promised; answered by TailRead.
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

// TransferSnapshot copies Source's snapshot to Store, which lacks records that Source has trimmed; answered
// by SnapshotTransferred.
type TransferSnapshot struct {
	Store, Source StoreID
	Ballot        Ballot
	RecoveredTo   Position
}

// SendProposal asks Store to accept the next ensemble; answered by ProposalAnswered or ProposalFailed.
type SendProposal struct {
	Store    StoreID
	Proposal Proposal
}

// EnsembleDecided reports that Ensemble is decided as the successor of the owner's ensemble. It holds even if
// the owner is lost.
type EnsembleDecided struct{ Ensemble Ensemble }

// Acknowledge reports that every record up to Through is on a write quorum.
type Acknowledge struct{ Through Position }

// Recovered reports that the whole log up to Last is on a write quorum and the owner may serve.
type Recovered struct{ Last Position }

// Lost reports that the ballot is lost or cannot be won; the Owner takes no further action.
type Lost struct {
	Cause LossCause
	// Higher is the ballot that outranks this one, or zero.
	Higher Ballot
	// Ensemble is set if a store had a newer version.
	Ensemble Ensemble
}

// LossCause is the reason for which a ballot was lost.
type LossCause string

// Causes of a loss.
const (
	// LossOutranked: a store has promised a higher ballot.
	LossOutranked LossCause = "outranked"
	// LossReleased: the owner released the partition.
	LossReleased LossCause = "released"
	// LossDeclined: the current owner is healthy and keeps the partition.
	LossDeclined LossCause = "declined"
	// LossUnreadable: a record that recovery needs could not be read; a retry under another ballot may succeed.
	LossUnreadable LossCause = "unreadable"
	// LossTimeout: too few stores answered in time.
	LossTimeout LossCause = "timeout"
	// LossEnsembleChanged: the ensemble has a newer version, under which the owner prepares again.
	LossEnsembleChanged LossCause = "ensemble_changed"
	// LossContradiction: a store's state contradicts the recovered log, which means that an invariant is broken.
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
