package protocol

// Proposal is an ensemble that an owner of the ensemble before it wants to follow it, and the owner's ballot. The zero value is none.
type Proposal struct {
	Ballot   Ballot
	Ensemble Ensemble
}

// Follows tells whether the proposal is for the version after version.
func (p Proposal) Follows(version uint64) bool { return p.Ensemble.Version == version+1 }

// ProposeEnsemble accepts the next ensemble unless a higher ballot was promised. An ensemble that a write quorum has accepted under one
// ballot is decided: each later owner of the version meets it in its read quorum, and proposes no other.
func (s *StoreState) ProposeEnsemble(request Proposal) (Acknowledgement, Effect) {
	if request.Ballot.Below(s.Promised) {
		return Acknowledgement{Verdict: VerdictRefused, Promised: s.Promised}, Effect{}
	}
	if !request.Follows(request.Ballot.Version) {
		return s.acknowledge(VerdictInvalid), Effect{}
	}
	s.Promised = request.Ballot
	s.Proposal = request
	return s.acknowledge(VerdictOK), Effect{Changed: true}
}

// forgetProposal drops a proposal that the ensemble in force has caught up with.
func (s *StoreState) forgetProposal() {
	if s.Proposal.Ensemble.Version <= s.Ensemble.Version {
		s.Proposal = Proposal{}
	}
}
