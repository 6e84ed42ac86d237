package protocol

import "testing"

// membersOf returns members with the given stores; those that start with a plus sign are joining.
func membersOf(stores ...string) []Member {
	var members []Member
	for _, store := range stores {
		if store[0] == '+' {
			members = append(members, Member{Store: StoreID(store[1:]), Joining: true})
			continue
		}
		members = append(members, Member{Store: StoreID(store)})
	}
	return members
}

func TestExtendKeepsTheReadQuorum(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []Member
		quorum  int
		added   StoreID
		allowed bool
	}{
		{"three members", membersOf("a", "b", "c"), 2, "d", true},
		{"four members", membersOf("a", "b", "c", "d"), 3, "e", true},
		{"one member", membersOf("a"), 1, "b", true},
		{"a member joins", membersOf("a", "b", "+c"), 2, "d", false},
		{"present already", membersOf("a", "b", "c"), 2, "c", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ensemble := Ensemble{Version: 4, Members: test.members, WriteQuorum: test.quorum}
			extended, allowed := ensemble.Extend(Member{Store: test.added})
			if allowed != test.allowed {
				t.Fatalf("allowed %t", allowed)
			}
			if !allowed {
				return
			}
			if extended.ReadQuorum() != ensemble.ReadQuorum() || extended.WriteQuorum != test.quorum+1 || extended.Version != 5 {
				t.Errorf("extended to %+v", extended)
			}
			if added, _ := extended.Find(test.added); !added.Joining {
				t.Error("the added member is not joining")
			}
		})
	}
}

func TestRemoveKeepsAReadQuorumOfFullMembers(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []Member
		quorum  int
		removed StoreID
		allowed bool
	}{
		{"a full member of four", membersOf("a", "b", "c", "d"), 3, "a", true},
		{"the joining member", membersOf("a", "b", "c", "+d"), 3, "d", true},
		{"a full member beside a joining one", membersOf("a", "b", "c", "+d"), 3, "b", true},
		{"a full member beside two joining ones", membersOf("a", "b", "+c", "+d"), 3, "a", false},
		{"an unknown member", membersOf("a", "b", "c", "d"), 3, "e", false},
		{"the last member", membersOf("a"), 1, "a", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ensemble := Ensemble{Version: 4, Members: test.members, WriteQuorum: test.quorum}
			reduced, allowed := ensemble.Remove(test.removed)
			if allowed != test.allowed {
				t.Fatalf("allowed %t", allowed)
			}
			if !allowed {
				return
			}
			if _, present := reduced.Find(test.removed); present || reduced.ReadQuorum() != ensemble.ReadQuorum() || reduced.Version != 5 {
				t.Errorf("reduced to %+v", reduced)
			}
		})
	}
}

// TestLearnerCountsForNoQuorum: acknowledgements of a learner commit nothing, and it is not asked to accept proposals.
func TestLearnerCountsForNoQuorum(t *testing.T) {
	c := newProposalCluster()
	owner, _ := c.prepared(t, 1, "first", "a", "b")
	owner.Learn(Member{Store: "d"})
	owner.Promised("d", promiseOf(owner.Ballot(), Ballot{}, 0, 0))
	owner.Propose([]Record{{Payload: []byte("x")}})
	acknowledged := Acknowledgement{Verdict: VerdictOK, Promised: owner.Ballot(), Through: 1}
	owner.Acknowledged("d", acknowledged, false)
	owner.Acknowledged("a", acknowledged, false)
	if owner.Committed() != 0 {
		t.Fatal("a record on one member and the learner is committed")
	}
	if asked := proposalsTo(owner.ProposeEnsemble(c.replacement("c", "e"))); len(asked) != 2 || asked["d"].Ensemble.Version != 0 {
		t.Fatalf("proposals are sent to %v", asked)
	}
	owner.Acknowledged("b", acknowledged, false)
	if owner.Committed() != 1 {
		t.Fatal("a record on a write quorum is not committed")
	}
}

// TestLearnerHasTheLogWhenItBecomesAMember: what a learner holds counts as soon as it has promised the new ballot.
func TestLearnerHasTheLogWhenItBecomesAMember(t *testing.T) {
	c := newProposalCluster()
	owner, _ := c.prepared(t, 1, "first", "a", "b")
	owner.Propose([]Record{{Payload: []byte("x")}})
	before := owner.Ballot()
	acknowledged := Acknowledgement{Verdict: VerdictOK, Promised: before, Through: 1}
	owner.Acknowledged("a", acknowledged, false)
	owner.Acknowledged("b", acknowledged, false)
	owner.Learn(Member{Store: "d"})
	owner.Promised("d", promiseOf(before, Ballot{}, 0, 0))
	owner.Acknowledged("d", acknowledged, false)
	extended, _ := c.ensemble.Extend(Member{Store: "d"})
	owner.PrepareAgain(extended)
	for _, store := range []StoreID{"a", "b", "d"} {
		owner.Promised(store, promiseOf(owner.Ballot(), before, 0, 1))
	}
	for _, holding := range owner.Holdings() {
		if holding.Member.Store == "d" && (holding.Learner || !holding.CaughtUp) {
			t.Fatalf("the former learner can't be promoted: %+v", holding)
		}
	}
}
