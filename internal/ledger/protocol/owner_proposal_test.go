package protocol

import (
	"slices"
	"testing"
)

// proposalCluster has three stores and an ensemble with a write quorum of two.
type proposalCluster struct {
	stores   map[StoreID]*modelStore
	ensemble Ensemble
}

func newProposalCluster() *proposalCluster {
	c := &proposalCluster{stores: map[StoreID]*modelStore{}, ensemble: Ensemble{Version: 1, WriteQuorum: 2}}
	for _, id := range []StoreID{"a", "b", "c"} {
		c.stores[id] = newModelStore()
		c.ensemble.Members = append(c.ensemble.Members, Member{Store: id})
	}
	return c
}

func (c *proposalCluster) replacement(lost, with StoreID) Ensemble {
	next, _ := c.ensemble.Replace(lost, Member{Store: with})
	return next
}

// prepared returns an owner that is serving after promises from the given stores.
func (c *proposalCluster) prepared(t *testing.T, number uint64, name string, stores ...StoreID) (*Owner, []Action) {
	t.Helper()
	owner := NewOwner(Ballot{Version: 1, Number: number, Owner: name}, c.ensemble, DefaultOwnerLimits())
	owner.Start()
	var actions []Action
	for _, id := range stores {
		promise, effect := c.stores[id].state.Prepare(Prepare{Ballot: owner.Ballot(), Ensemble: c.ensemble})
		c.stores[id].apply(effect)
		actions = append(actions, owner.Promised(id, promise)...)
	}
	if owner.Phase() != PhaseServing {
		t.Fatalf("owner %s is in phase %d", name, owner.Phase())
	}
	return owner, actions
}

// proposalsTo returns the proposals among actions, by store.
func proposalsTo(actions []Action) map[StoreID]Proposal {
	proposals := map[StoreID]Proposal{}
	for _, action := range actions {
		if sent, is := action.(SendProposal); is {
			proposals[sent.Store] = sent.Proposal
		}
	}
	return proposals
}

// answer delivers a proposal to a store, and the store's answer to the owner.
func (c *proposalCluster) answer(owner *Owner, store StoreID, proposal Proposal) []Action {
	answer, effect := c.stores[store].state.ProposeEnsemble(proposal)
	c.stores[store].apply(effect)
	return owner.ProposalAnswered(store, answer)
}

func decidedIn(actions []Action) []Ensemble {
	var decided []Ensemble
	for _, action := range actions {
		if typed, is := action.(EnsembleDecided); is {
			decided = append(decided, typed.Ensemble)
		}
	}
	return decided
}

func TestWriteQuorumDecides(t *testing.T) {
	c := newProposalCluster()
	owner, _ := c.prepared(t, 1, "first", "a", "b")
	proposals := proposalsTo(owner.ProposeEnsemble(c.replacement("c", "d")))
	if len(proposals) != 2 {
		t.Fatalf("proposed to %d stores, 2 are attached", len(proposals))
	}
	if decided := decidedIn(c.answer(owner, "a", proposals["a"])); len(decided) != 0 {
		t.Error("one store of three decided")
	}
	if decided := decidedIn(c.answer(owner, "b", proposals["b"])); len(decided) != 1 {
		t.Errorf("two stores of three decided %d ensembles", len(decided))
	}
}

func TestLaterOwnerProposesWhatMayBeDecided(t *testing.T) {
	c := newProposalCluster()
	first, _ := c.prepared(t, 1, "first", "a", "b")
	wanted := c.replacement("c", "d")
	for store, proposal := range proposalsTo(first.ProposeEnsemble(wanted)) {
		c.answer(first, store, proposal)
	}
	second, actions := c.prepared(t, 2, "second", "b", "c")
	if other := proposalsTo(second.ProposeEnsemble(c.replacement("a", "e"))); len(other) != 0 {
		t.Fatal("a later owner proposes another ensemble")
	}
	inherited := proposalsTo(actions)
	if len(inherited) != 2 {
		t.Fatalf("the inherited ensemble is proposed to %d stores", len(inherited))
	}
	var decided []Ensemble
	for _, store := range []StoreID{"b", "c"} {
		decided = append(decided, decidedIn(c.answer(second, store, inherited[store]))...)
	}
	if len(decided) != 1 || !slices.Equal(decided[0].Members, wanted.Members) {
		t.Errorf("decided %+v, want %+v", decided, wanted)
	}
}

func TestFormerOwnerDecidesNothing(t *testing.T) {
	c := newProposalCluster()
	first, _ := c.prepared(t, 1, "first", "a", "b")
	proposals := proposalsTo(first.ProposeEnsemble(c.replacement("c", "d")))
	c.prepared(t, 2, "second", "b", "c")
	c.answer(first, "a", proposals["a"])
	if decided := decidedIn(c.answer(first, "b", proposals["b"])); len(decided) != 0 || first.Phase() != PhaseLost {
		t.Errorf("a former owner decided %+v, phase %d", decided, first.Phase())
	}
}

func TestStoreThatFailedIsAskedAgain(t *testing.T) {
	c := newProposalCluster()
	owner, _ := c.prepared(t, 1, "first", "a", "b")
	proposals := proposalsTo(owner.ProposeEnsemble(c.replacement("c", "d")))
	c.answer(owner, "a", proposals["a"])
	owner.ProposalFailed("b")
	again := proposalsTo(owner.Tick())
	if _, asked := again["b"]; !asked || len(again) != 1 {
		t.Errorf("asked again: %v", again)
	}
}

func TestProposalIsForgottenUnderTheNextVersion(t *testing.T) {
	c := newProposalCluster()
	owner, _ := c.prepared(t, 1, "first", "a", "b")
	wanted := c.replacement("c", "d")
	for store, proposal := range proposalsTo(owner.ProposeEnsemble(wanted)) {
		c.answer(owner, store, proposal)
	}
	state := &c.stores["a"].state
	if _, refused := state.ProposeEnsemble(Proposal{Ballot: owner.Ballot(), Ensemble: Ensemble{Version: 3}}); refused.Changed {
		t.Error("an ensemble that does not follow was accepted")
	}
	promise, _ := state.Prepare(Prepare{Ballot: Ballot{Version: 2, Number: 1, Owner: "first"}, Ensemble: wanted})
	if promise.Proposal.Ensemble.Version != 0 {
		t.Errorf("a store under version 2 still reports the proposal for that version: %+v", promise.Proposal)
	}
}
