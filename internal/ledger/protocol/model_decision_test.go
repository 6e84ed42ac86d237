package protocol

import "slices"

// propose queues a proposal to a store.
func (w *modelCluster) propose(owner *modelOwner, action SendProposal) {
	w.request(owner, action.Store, func(store *modelStore) func() []Action {
		answer, effect := store.state.ProposeEnsemble(action.Proposal)
		store.apply(effect)
		return func() []Action { return owner.ProposalAnswered(action.Store, answer) }
	})
	last := &w.requests[len(w.requests)-1]
	inner := last.deliver
	last.deliver = func() func() []Action {
		if w.stores[action.Store].lost {
			return func() []Action { return owner.ProposalFailed(action.Store) }
		}
		return inner()
	}
}

// decide applies a decided ensemble and checks that no version is decided differently by two owners.
func (w *modelCluster) decide(owner *modelOwner, next Ensemble) {
	decided := append(slices.Clone(w.older), w.ensemble)
	for _, known := range decided {
		if known.Version == next.Version && !slices.Equal(known.Members, next.Members) {
			w.t.Fatalf("owner %d has version %d decided as %+v, it is %+v", owner.id, next.Version, next.Members, known.Members)
		}
	}
	if next.Version == w.ensemble.Version+1 {
		w.change(next)
	}
}

// changeTo makes next the ensemble, or proposes it to the members of the serving owners.
func (w *modelCluster) changeTo(next Ensemble) {
	if !w.membersDecide {
		w.change(next)
		return
	}
	for _, owner := range w.serving() {
		if owner.Ensemble().Version+1 == next.Version {
			w.step(owner, owner.ProposeEnsemble(next))
		}
	}
}

// pending returns the ensembles that may still be decided.
func (w *modelCluster) pending() []Ensemble {
	var pending []Ensemble
	add := func(next Ensemble) {
		if next.Version == w.ensemble.Version+1 {
			pending = append(pending, next)
		}
	}
	for _, owner := range w.owners {
		add(owner.proposal.ensemble)
	}
	for _, store := range w.stores {
		add(store.state.Proposal.Ensemble)
	}
	return pending
}

// healByMembers replaces the lost disks by decisions of the members, without a compare-and-swap, and checks that every
// acknowledged record is then served.
func (w *modelCluster) healByMembers() {
	const rounds = 8
	for range rounds {
		owner := w.startOwner(w.ensemble, w.number+1)
		if !w.settle(owner) {
			w.t.Fatalf("owner %d does not settle", owner.id)
		}
		if owner.Ensemble().Version == w.ensemble.Version {
			w.replaceLost(owner)
		}
		if owner.Ensemble().Version == w.ensemble.Version && w.weakOf(w.ensemble) == 0 {
			w.checkHealed(owner)
			return
		}
	}
	w.t.Fatalf("not healed after %d owners: %+v", rounds, w.ensemble)
}

// replaceLost proposes the next due change to the owner's members, if there is one.
func (w *modelCluster) replaceLost(owner *modelOwner) {
	for _, member := range w.ensemble.Members {
		if w.stores[member.Store].lost {
			if next, ok := w.ensemble.Replace(member.Store, Member{Store: w.newStore()}); ok {
				w.step(owner, owner.ProposeEnsemble(next))
				w.settle(owner)
			}
			return
		}
	}
	for _, holding := range owner.Holdings() {
		if next, ok := w.ensemble.Promote(holding.Member.Store); ok && holding.CaughtUp {
			w.step(owner, owner.ProposeEnsemble(next))
			w.settle(owner)
			return
		}
	}
}
