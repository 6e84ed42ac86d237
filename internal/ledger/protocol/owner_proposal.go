package protocol

// ensembleProposal is the progress of the owner's proposal for the next ensemble.
type ensembleProposal struct {
	// ensemble is the proposed one; version 0 means no proposal.
	ensemble Ensemble
	// asked are the stores with a request in flight; accepted are those that accepted under this ballot.
	asked, accepted map[StoreID]bool
	decided         bool
}

// ProposeEnsemble proposes next to the members. It does nothing unless the owner is serving, next is the
// version after the owner's ensemble, and no other proposal is pending.
func (o *Owner) ProposeEnsemble(next Ensemble) []Action {
	if o.phase != PhaseServing || next.Version != o.ensemble.Version+1 || o.proposal.ensemble.Version != 0 {
		return nil
	}
	o.proposal = newEnsembleProposal(next)
	return o.sendProposals()
}

func newEnsembleProposal(ensemble Ensemble) ensembleProposal {
	return ensembleProposal{ensemble: ensemble, asked: map[StoreID]bool{}, accepted: map[StoreID]bool{}}
}

// inheritProposal adopts the newest proposal by another owner of this version, since it may already be decided.
// It is called when the read quorum is complete.
func (o *Owner) inheritProposal() {
	o.proposal = ensembleProposal{}
	var newest Proposal
	for _, follower := range o.followers {
		known := follower.promise.Proposal
		if follower.attached && !follower.member.Joining && known.Follows(o.ensemble.Version) && newest.Ballot.Below(known.Ballot) {
			newest = known
		}
	}
	if newest.Ensemble.Version != 0 {
		o.proposal = newEnsembleProposal(newest.Ensemble)
	}
}

// sendProposals sends the proposal to the attached members that have not accepted it yet.
func (o *Owner) sendProposals() []Action {
	if o.phase != PhaseServing || o.proposal.ensemble.Version == 0 || o.proposal.decided {
		return nil
	}
	var actions []Action
	for _, follower := range o.followers {
		store := follower.member.Store
		if !follower.attached || follower.learner || o.proposal.asked[store] || o.proposal.accepted[store] {
			continue
		}
		o.proposal.asked[store] = true
		actions = append(actions, SendProposal{Store: store, Proposal: Proposal{Ballot: o.ballot, Ensemble: o.proposal.ensemble}})
	}
	return actions
}

// ProposalAnswered handles a store's answer to a SendProposal. Acceptance by a write quorum decides the proposal.
func (o *Owner) ProposalAnswered(store StoreID, answer Acknowledgement) []Action {
	if o.phase == PhaseLost || o.find(store) == nil || !o.proposal.asked[store] {
		return nil
	}
	switch answer.Verdict {
	case VerdictRefused:
		return o.lose(Lost{Cause: LossOutranked, Higher: answer.Promised})
	case VerdictOK:
	default:
		return o.lose(Lost{Cause: LossContradiction})
	}
	delete(o.proposal.asked, store)
	o.proposal.accepted[store] = true
	if o.proposal.decided || len(o.proposal.accepted) < o.ensemble.WriteQuorum {
		return nil
	}
	o.proposal.decided = true
	return []Action{EnsembleDecided{Ensemble: o.proposal.ensemble}}
}

// ProposalFailed records that a SendProposal got no usable answer; the next Tick asks the store again.
func (o *Owner) ProposalFailed(store StoreID) []Action {
	delete(o.proposal.asked, store)
	return nil
}
