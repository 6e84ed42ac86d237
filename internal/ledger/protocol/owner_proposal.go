package protocol

// proposing is how far the owner is with the ensemble that is to follow its own.
type proposing struct {
	// ensemble is the proposed one; its version is 0 where there is none.
	ensemble Ensemble
	// asked are the stores whose answer is awaited, accepted those that have accepted under this ballot.
	asked, accepted map[StoreID]bool
	decided         bool
}

// ProposeEnsemble starts to have the members decide on next. It does nothing unless the owner serves, next follows the owner's ensemble
// and nothing else is proposed.
func (o *Owner) ProposeEnsemble(next Ensemble) []Action {
	if o.phase != PhaseServing || next.Version != o.ensemble.Version+1 || o.proposing.ensemble.Version != 0 {
		return nil
	}
	o.proposing = newProposing(next)
	return o.sendProposals()
}

func newProposing(ensemble Ensemble) proposing {
	return proposing{ensemble: ensemble, asked: map[StoreID]bool{}, accepted: map[StoreID]bool{}}
}

// inheritProposal takes over what another owner of this version proposed, for it may be decided. It is called when the read
// quorum is complete.
func (o *Owner) inheritProposal() {
	o.proposing = proposing{}
	var newest Proposal
	for _, follower := range o.followers {
		known := follower.promise.Proposal
		if follower.attached && !follower.member.Joining && known.Follows(o.ensemble.Version) && newest.Ballot.Below(known.Ballot) {
			newest = known
		}
	}
	if newest.Ensemble.Version != 0 {
		o.proposing = newProposing(newest.Ensemble)
	}
}

// sendProposals asks the attached members that have not accepted yet.
func (o *Owner) sendProposals() []Action {
	if o.phase != PhaseServing || o.proposing.ensemble.Version == 0 || o.proposing.decided {
		return nil
	}
	var actions []Action
	for _, follower := range o.followers {
		store := follower.member.Store
		if !follower.attached || o.proposing.asked[store] || o.proposing.accepted[store] {
			continue
		}
		o.proposing.asked[store] = true
		actions = append(actions, SendProposal{Store: store, Proposal: Proposal{Ballot: o.ballot, Ensemble: o.proposing.ensemble}})
	}
	return actions
}

// ProposalAnswered takes a store's answer to a SendProposal. A write quorum decides.
func (o *Owner) ProposalAnswered(store StoreID, answer Acknowledgement) []Action {
	if o.phase == PhaseLost || o.find(store) == nil || !o.proposing.asked[store] {
		return nil
	}
	switch answer.Verdict {
	case VerdictRefused:
		return o.lose(Lost{Cause: LossOutranked, Higher: answer.Promised})
	case VerdictOK:
	default:
		return o.lose(Lost{Cause: LossContradiction})
	}
	delete(o.proposing.asked, store)
	o.proposing.accepted[store] = true
	if o.proposing.decided || len(o.proposing.accepted) < o.ensemble.WriteQuorum {
		return nil
	}
	o.proposing.decided = true
	return []Action{EnsembleDecided{Ensemble: o.proposing.ensemble}}
}

// ProposalFailed says that a SendProposal had no usable answer; the store is asked again at the next notice.
func (o *Owner) ProposalFailed(store StoreID) []Action {
	delete(o.proposing.asked, store)
	return nil
}
