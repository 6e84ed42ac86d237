package protocol

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// modelStore is a store's protocol state with the content of its disk.
type modelStore struct {
	state    StoreState
	records  map[Position]Entry
	snapshot []string
	lost     bool
	// dropped is set if the store dropped the partition because it is no longer a member.
	dropped bool
}

func newModelStore() *modelStore {
	return &modelStore{state: NewStoreState(), records: map[Position]Entry{}}
}

func (s *modelStore) apply(effect Effect) {
	for _, removed := range effect.Remove {
		for position := removed.From; position <= removed.To; position++ {
			delete(s.records, position)
		}
	}
	for _, entry := range effect.Write {
		s.records[entry.Position] = entry
	}
}

// modelOwner is an owner with the values it assigned to positions.
type modelOwner struct {
	*Owner
	id     int
	values map[Position]string
	// recoveryBallot is the ballot of the last recovery or resumption that was checked.
	recoveryBallot Ballot
}

// message is a request in flight to a store, or its answer in flight to the owner.
type message struct {
	owner   *modelOwner
	ballot  Ballot
	store   StoreID
	deliver func() (answer func() []Action)
	// forgotten is set if the owner no longer waits for the answer.
	forgotten bool
}

// promotion is an ensemble change that is decided earlier than it is applied.
type promotion struct{ next Ensemble }

// modelCluster is a cluster in which rapid chooses the order of messages and the failures.
type modelCluster struct {
	t          *rapid.T
	stores     map[StoreID]*modelStore
	ensemble   Ensemble
	older      []Ensemble
	owners     []*modelOwner
	requests   []message
	answers    []message
	promotions []promotion
	// acknowledged holds the value of every acknowledged position.
	acknowledged map[Position]string
	// ballots holds the lowest ballot that acknowledged each position.
	ballots map[Position]Ballot
	// proposedUnder holds the ballot under which each value was first proposed.
	proposedUnder map[string]Ballot
	// replicas and writeQuorum are those of an ensemble that has all wanted members, but for one more of each during a
	// planned change.
	replicas, writeQuorum int
	// maxLost is the number of members that may be lost at once.
	maxLost int
	// membersDecide is set if ensembles are decided by their members instead of a compare-and-swap.
	membersDecide bool
	nextStore     int
	nextValue     int
	number        uint64
}

const (
	modelReplicas = 4
	modelQuorum   = 3
	// modelMajority is the write quorum of ensembles that their members decide on.
	modelMajorityReplicas, modelMajority = 3, 2
	maxModelLost                         = 2
)

// newShortModelCluster returns a cluster with one member less than wanted.
func newShortModelCluster(t *rapid.T) *modelCluster {
	w := newModelCluster(t, false)
	w.replicas, w.writeQuorum, w.maxLost = modelMajorityReplicas, modelMajority, 1
	w.ensemble.Members = w.ensemble.Members[:w.replicas-1]
	w.ensemble.WriteQuorum = WriteQuorumOf(len(w.ensemble.Members), w.writeQuorum)
	return w
}

func newModelCluster(t *rapid.T, membersDecide bool) *modelCluster {
	w := &modelCluster{
		t: t, membersDecide: membersDecide, stores: map[StoreID]*modelStore{}, acknowledged: map[Position]string{},
		ballots: map[Position]Ballot{}, proposedUnder: map[string]Ballot{},
	}
	w.replicas, w.writeQuorum, w.maxLost = modelReplicas, modelQuorum, maxModelLost
	if membersDecide {
		w.replicas, w.writeQuorum, w.maxLost = modelMajorityReplicas, modelMajority, maxModelLost-1
	}
	w.ensemble = Ensemble{Version: 1, WriteQuorum: w.writeQuorum}
	for range w.replicas {
		w.ensemble.Members = append(w.ensemble.Members, Member{Store: w.newStore()})
	}
	return w
}

func (w *modelCluster) newStore() StoreID {
	w.nextStore++
	id := StoreID(fmt.Sprint("store-", w.nextStore))
	w.stores[id] = newModelStore()
	return id
}

// bearable reports whether no more members are lost than may be, and the others that are full ones suffice for a read quorum,
// at present, after each proposal that may still be decided, and under next.
func (w *modelCluster) bearable(next ...Ensemble) bool {
	for _, ensemble := range append(append(next, w.ensemble), w.pending()...) {
		if w.lostOf(ensemble) > w.maxLost || len(ensemble.Members)-w.weakOf(ensemble) < ensemble.ReadQuorum() {
			return false
		}
	}
	return true
}

func (w *modelCluster) lostOf(ensemble Ensemble) int {
	lost := 0
	for _, member := range ensemble.Members {
		if w.stores[member.Store].lost {
			lost++
		}
	}
	return lost
}

// drawSpare draws a store that is not a member: an empty one, or one that has been a member or a learner before.
func (w *modelCluster) drawSpare(t *rapid.T) Member {
	var former []StoreID
	for number := range w.nextStore {
		id := StoreID(fmt.Sprint("store-", number+1))
		if _, member := w.ensemble.Find(id); !member && !w.stores[id].lost {
			former = append(former, id)
		}
	}
	if len(former) > 0 && rapid.Bool().Draw(t, "former") {
		id, _ := pick(t, former, "spare")
		return Member{Store: id}
	}
	return Member{Store: w.newStore()}
}

func (w *modelCluster) weakOf(ensemble Ensemble) int {
	weak := 0
	for _, member := range ensemble.Members {
		if member.Joining || w.stores[member.Store].lost {
			weak++
		}
	}
	return weak
}

func (w *modelCluster) change(next Ensemble) {
	w.older = append(w.older, w.ensemble)
	w.ensemble = next
}

func (w *modelCluster) startOwner(ensemble Ensemble, number uint64) *modelOwner {
	w.number = max(w.number, number)
	id := len(w.owners) + 1
	ballot := Ballot{Version: ensemble.Version, Number: number, Owner: fmt.Sprint("owner-", id)}
	owner := &modelOwner{
		Owner: NewOwner(ballot, ensemble, OwnerLimits{BatchBytes: 3 * entryOverheadBytes, WindowBytes: 2 * entryOverheadBytes}),
		id:    id, values: map[Position]string{},
	}
	w.owners = append(w.owners, owner)
	w.execute(owner, owner.Start())
	return owner
}

// step checks an owner after one of its methods ran, and executes the actions that the method returned.
func (w *modelCluster) step(owner *modelOwner, actions []Action) {
	if owner.Phase() >= PhaseReading && owner.Phase() < PhaseLost && owner.recoveryBallot != owner.Ballot() {
		owner.recoveryBallot = owner.Ballot()
		for position, ballot := range w.ballots {
			if ballot.Below(owner.Ballot()) && owner.RecoveredTo() < position {
				w.t.Fatalf("owner %d recovers to %d, but %d is acknowledged", owner.id, owner.RecoveredTo(), position)
			}
		}
	}
	w.number = max(w.number, owner.Ballot().Number)
	w.execute(owner, actions)
	w.checkReads(owner)
}

func (w *modelCluster) execute(owner *modelOwner, actions []Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case SendPrepare:
			w.request(owner, typed.Store, func(store *modelStore) func() []Action {
				promise, effect := store.state.Prepare(typed.Prepare)
				store.apply(effect)
				return func() []Action { return owner.Promised(typed.Store, promise) }
			})
		case ReadTail:
			w.request(owner, typed.Store, func(store *modelStore) func() []Action {
				entries, ok := store.read(typed.From, typed.To)
				if !ok {
					return func() []Action { return owner.Failed(typed.Store) }
				}
				return func() []Action { return owner.TailRead(typed.Store, entries) }
			})
		case SendAppend:
			for _, entry := range typed.Append.Entries {
				owner.values[entry.Position] = string(entry.Record.Payload)
			}
			w.request(owner, typed.Store, func(store *modelStore) func() []Action {
				answer, effect := store.state.Append(typed.Append)
				store.apply(effect)
				w.checkStore(store)
				if answer.Verdict == VerdictInvalid {
					w.t.Fatalf("store contradicts owner %d", owner.id)
				}
				return func() []Action { return owner.Acknowledged(typed.Store, answer, false) }
			})
		case Fetch:
			w.fetch(owner, typed)
		case TransferSnapshot:
			source := w.stores[typed.Source]
			if source.lost || source.state.Snapshot != owner.find(typed.Source).snapshot {
				// The source refuses to read another snapshot than the one that the owner knows; it may have dropped that.
				w.fail(owner, typed.Store)
				continue
			}
			w.install(owner, typed.Store, source.state.Snapshot, slices.Clone(source.snapshot), true)
		case SendProposal:
			w.propose(owner, typed)
		case EnsembleDecided:
			w.decide(owner, typed.Ensemble)
		case Acknowledge:
			w.acknowledge(owner, typed.Through)
		case Lost:
			if typed.Cause == LossContradiction {
				w.t.Fatalf("owner %d met a contradiction", owner.id)
			}
		}
	}
}

// request queues a request; rapid chooses whether it is answered, lost or delayed.
func (w *modelCluster) request(owner *modelOwner, id StoreID, serve func(*modelStore) func() []Action) {
	w.requests = append(w.requests, message{owner: owner, ballot: owner.Ballot(), store: id, deliver: func() func() []Action {
		store := w.stores[id]
		if store.lost {
			return func() []Action { return owner.Failed(id) }
		}
		return serve(store)
	}})
}

func (w *modelCluster) fail(owner *modelOwner, store StoreID) {
	w.answers = append(w.answers, message{owner: owner, ballot: owner.Ballot(), store: store, deliver: func() func() []Action {
		return func() []Action { return owner.Failed(store) }
	}})
}

func (w *modelCluster) fetch(owner *modelOwner, action Fetch) {
	w.request(owner, action.Source, func(store *modelStore) func() []Action {
		entries, ok := store.read(action.From, min(action.To, action.From+1))
		if !ok {
			return func() []Action { return owner.Failed(action.Store) }
		}
		for _, entry := range entries {
			owner.values[entry.Position] = string(entry.Record.Payload)
		}
		return func() []Action { return owner.Fetched(action.Store, entries) }
	})
	// The request is accounted to the store that lacks the entries, even if the source is lost.
	last := &w.requests[len(w.requests)-1]
	last.store = action.Store
	inner := last.deliver
	last.deliver = func() func() []Action {
		if w.stores[action.Source].lost {
			return func() []Action { return owner.Failed(action.Store) }
		}
		return inner()
	}
}

func (w *modelCluster) install(owner *modelOwner, id StoreID, info SnapshotInfo, values []string, transfer bool) {
	ballot, recoveredTo := owner.Ballot(), owner.RecoveredTo()
	w.request(owner, id, func(store *modelStore) func() []Action {
		answer, effect := store.state.InstallSnapshot(ballot, recoveredTo, info)
		store.apply(effect)
		if store.state.Snapshot.UpTo == info.UpTo {
			store.snapshot = values
		}
		w.checkStore(store)
		return func() []Action {
			if transfer {
				return owner.SnapshotTransferred(id, answer, info)
			}
			if answer.Verdict == VerdictOK {
				owner.SnapshotHeld(id, info)
			}
			return nil
		}
	})
}

func (s *modelStore) read(from, to Position) ([]Entry, bool) {
	var entries []Entry
	for position := from; position <= to; position++ {
		entry, present := s.records[position]
		if !present {
			return nil, false
		}
		entries = append(entries, entry)
	}
	return entries, true
}

func (w *modelCluster) acknowledge(owner *modelOwner, through Position) {
	for position := through; position > 0; position-- {
		value, known := owner.values[position]
		if !known {
			continue
		}
		former, present := w.acknowledged[position]
		if present && former != value {
			w.t.Fatalf("position %d acknowledged as %s and, by owner %d, as %s", position, former, owner.id, value)
		}
		w.acknowledged[position] = value
		if ballot, counted := w.ballots[position]; !counted || owner.Ballot().Below(ballot) {
			w.ballots[position] = owner.Ballot()
		}
	}
}

// checkStore checks the invariants of a store's state.
func (w *modelCluster) checkStore(store *modelStore) {
	s := store.state
	if s.First > s.Committed+1 || s.Committed > s.Consistent || s.Consistent > s.Last || s.Snapshot.KeepFrom > s.Committed+1 || s.Promised.Below(s.Accepted) {
		w.t.Fatalf("store state is broken: %+v", s)
	}
	for position := s.First; position <= s.Last; position++ {
		if _, present := store.records[position]; !present {
			w.t.Fatalf("store lacks record %d: %+v", position, s)
		}
	}
}

// checkReads checks that every record that the owner may read from any store is the acknowledged one.
func (w *modelCluster) checkReads(owner *modelOwner) {
	if owner.Phase() != PhaseServing {
		return
	}
	for _, holding := range owner.Holdings() {
		store := w.stores[holding.Member.Store]
		if store.lost || !holding.Attached {
			continue
		}
		for position := holding.First; position <= min(holding.Through, owner.Committed()); position++ {
			entry, present := store.records[position]
			if !present {
				if position >= store.state.First && !store.dropped {
					w.t.Fatalf("owner %d can't read %d at %s", owner.id, position, holding.Member.Store)
				}
				continue
			}
			if value := string(entry.Record.Payload); value != w.acknowledged[position] {
				w.t.Fatalf("owner %d reads %q at %d from %s, acknowledged is %q",
					owner.id, value, position, holding.Member.Store, w.acknowledged[position])
			}
		}
	}
}
