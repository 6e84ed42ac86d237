package protocol

// Proposal is a proposed next ensemble with the ballot of the owner that proposes it. The zero value means none.
type Proposal struct {
	Ballot   Ballot
	Ensemble Ensemble
}

// Follows reports whether the proposal is for version + 1.
func (p Proposal) Follows(version uint64) bool { return p.Ensemble.Version == version+1 }

// ProposeEnsemble accepts the next ensemble unless a higher ballot was promised. An ensemble that a write quorum
// has accepted under one ballot is decided: every later owner of the version finds it in its read quorum and
// proposes no other.
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

// dropObsoleteProposal drops a proposal that is not newer than the current ensemble.
func (s *StoreState) dropObsoleteProposal() {
	if s.Proposal.Ensemble.Version <= s.Ensemble.Version {
		s.Proposal = Proposal{}
	}
}
