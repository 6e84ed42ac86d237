package roles

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind says what a fault does.
type faultKind string

// Kinds of faults.
const (
	killNode       faultKind = "kill_node"
	killStores     faultKind = "kill_all_stores"
	killAll        faultKind = "kill_all"
	killInTurn     faultKind = "kill_stores_in_turn"
	stopInTurn     faultKind = "stop_stores_in_turn"
	stopNode       faultKind = "stop_node"
	rollNodes      faultKind = "roll_nodes"
	freezeNode     faultKind = "freeze_node"
	freezeStores   faultKind = "freeze_stores_in_turn"
	throttleNode   faultKind = "throttle_node"
	throttleStores faultKind = "throttle_stores"
	throttleAll    faultKind = "throttle_all"
	loseDisk       faultKind = "lose_disk"
	busyMachine    faultKind = "busy_machine"

	storeRefuses  faultKind = "store_refuses"
	storeSilent   faultKind = "store_silent"
	storeSlow     faultKind = "store_slow"
	storeLoses    faultKind = "store_loses_answers"
	storeForgets  faultKind = "store_forgets_history"
	cutFromStore  faultKind = "cut_from_store"
	configuration faultKind = "configurations"

	crashReplica   faultKind = "crash_replica"
	crashInTurn    faultKind = "crash_replicas_in_turn"
	restartReplica faultKind = "replace_replica_at_its_address"
	restartSameID  faultKind = "restart_replica_under_its_id"
	spoilEntry     faultKind = "spoil_entry"
	flapReplica    faultKind = "flap_replica"
	hangReplica    faultKind = "hang_replica"
	failReplicas   faultKind = "replicas_fail"
	loseAnswers    faultKind = "replicas_lose_answers"
	breakStreams   faultKind = "replicas_break_streams"
)

// drawnKind is a kind as it is drawn: how long it lasts, and how often at most in a run, 0 for any number.
type drawnKind struct {
	kind              faultKind
	shortest, longest time.Duration
	most              int
}

// Disks are lost once in a run: the deployment survives the loss of one at a time.
var drawnKinds = []drawnKind{
	{killNode, 300 * time.Millisecond, 3 * time.Second, 0},
	{killStores, 300 * time.Millisecond, 900 * time.Millisecond, 2},
	{killInTurn, 4 * time.Second, 10 * time.Second, 1},
	{stopInTurn, 4 * time.Second, 10 * time.Second, 1},
	{stopNode, 300 * time.Millisecond, 2 * time.Second, 0},
	{rollNodes, 200 * time.Millisecond, 600 * time.Millisecond, 1},
	{freezeNode, 500 * time.Millisecond, 4 * time.Second, 0},
	{freezeStores, 2 * time.Second, 8 * time.Second, 2},
	{throttleNode, 2 * time.Second, 8 * time.Second, 0},
	{throttleStores, 3 * time.Second, 9 * time.Second, 2},
	{throttleAll, 2 * time.Second, 6 * time.Second, 1},
	{loseDisk, 300 * time.Millisecond, 2 * time.Second, 1},
	{busyMachine, 3 * time.Second, 8 * time.Second, 1},
	{storeRefuses, time.Second, 5 * time.Second, 0},
	{storeSilent, time.Second, 5 * time.Second, 0},
	{storeSlow, time.Second, 6 * time.Second, 0},
	{storeLoses, time.Second, 6 * time.Second, 0},
	{storeForgets, 0, 0, 0},
	{cutFromStore, time.Second, 6 * time.Second, 0},
	{configuration, time.Second, 4 * time.Second, 1},
	{crashReplica, time.Second, 4 * time.Second, 0},
	{restartReplica, 100 * time.Millisecond, 2 * time.Second, 0},
	{restartSameID, 50 * time.Millisecond, 2 * time.Second, 0},
	{spoilEntry, time.Second, 4 * time.Second, 0},
	{flapReplica, 2 * time.Second, 6 * time.Second, 1},
	{hangReplica, time.Second, 5 * time.Second, 0},
	{failReplicas, time.Second, 6 * time.Second, 0},
	{loseAnswers, time.Second, 6 * time.Second, 0},
	{breakStreams, time.Second, 6 * time.Second, 0},
}

// namedKinds are drawn only where they are named: the faults of a seed among all kinds stay as they are.
var namedKinds = []drawnKind{
	{crashInTurn, 5 * time.Second, 12 * time.Second, 2},
	{killAll, 300 * time.Millisecond, 900 * time.Millisecond, 5},
}

// fault is one fault of a run.
type fault struct {
	Kind faultKind
	At   time.Duration
	For  time.Duration
	// Pick chooses whom it strikes, modulo the number of those; Share is how strong it is, from 0 to 1.
	Pick  int
	Share float64
}

// String returns the fault as it stands in the line of a run.
func (f fault) String() string {
	return fmt.Sprintf("%s#%d@%s+%s", f.Kind, f.Pick, f.At, f.For)
}

// kindsAmong returns the kinds with the given names, all where none is given.
func kindsAmong(names []string) ([]drawnKind, error) {
	if len(names) == 0 {
		return drawnKinds, nil
	}
	var among []drawnKind
	known := slices.Concat(drawnKinds, namedKinds)
	for _, name := range names {
		at := slices.IndexFunc(known, func(each drawnKind) bool { return string(each.kind) == name })
		if at < 0 {
			return nil, fmt.Errorf("no fault is named %q", name)
		}
		among = append(among, known[at])
	}
	return among, nil
}

const (
	// leastDrawn and mostDrawn bound the faults of a run.
	leastDrawn, mostDrawn = 3, 8
	// drawsTried bounds the draws, of which those of a kind that is used up are in vain.
	drawsTried = 100
)

// drawFaults returns the faults of a seed among kinds, in order: alone, in series and overlapping.
func drawFaults(seed uint64, length time.Duration, kinds []drawnKind) []fault {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	count := leastDrawn + random.IntN(mostDrawn-leastDrawn+1)
	times := map[faultKind]int{}
	var faults []fault
	for draws := 0; len(faults) < count && draws < drawsTried; draws++ {
		drawn := kinds[random.IntN(len(kinds))]
		if drawn.most > 0 && times[drawn.kind] >= drawn.most {
			continue
		}
		times[drawn.kind]++
		span := float64(drawn.longest - drawn.shortest)
		faults = append(faults, fault{
			Kind: drawn.kind, Pick: random.IntN(1 << 16), Share: random.Float64(),
			For: (drawn.shortest + time.Duration(random.Float64()*span)).Round(10 * time.Millisecond),
			// The last quarter shows that the system goes on.
			At: time.Duration(random.Float64() * 0.75 * float64(length)).Round(10 * time.Millisecond),
		})
	}
	slices.SortFunc(faults, func(one, other fault) int { return int(one.At - other.At) })
	return faults
}
