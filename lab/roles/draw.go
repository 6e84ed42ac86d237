package roles

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is the kind of a fault, as named in options and output.
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
	changeSilence faultKind = "change_after_silence"

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

	killEdges      faultKind = "kill_edges"
	crashVersion   faultKind = "crash_version"
	releaseVersion faultKind = "release_version"
	spoilVersion   faultKind = "spoil_version"
	spoilAnswers   faultKind = "replicas_spoil_answers"
	endlessAnswer  faultKind = "replicas_answer_without_end"
	invalidHead    faultKind = "replicas_send_invalid_heads"
	breakUploads   faultKind = "replicas_break_uploads"
	invalidEntries faultKind = "invalid_entries"
)

// kindRange describes how a kind of fault is drawn: the range of its duration and its maximum number in a run, 0 for no limit.
type kindRange struct {
	kind              faultKind
	shortest, longest time.Duration
	maxPerRun         int
}

// defaultKinds are the kinds that are drawn by default. At most one disk is lost in a run, since the deployment tolerates the loss of one
// disk at a time.
var defaultKinds = []kindRange{
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

// explicitKinds are drawn only if the options name them, so that adding kinds here does not change the faults of existing seeds.
var explicitKinds = []kindRange{
	{crashInTurn, 5 * time.Second, 12 * time.Second, 2},
	{killAll, 300 * time.Millisecond, 900 * time.Millisecond, 5},
	{killEdges, 300 * time.Millisecond, 900 * time.Millisecond, 0},
	{crashVersion, 300 * time.Millisecond, 3 * time.Second, 2},
	{releaseVersion, 3 * time.Second, 8 * time.Second, 2},
	{spoilVersion, time.Second, 4 * time.Second, 0},
	{changeSilence, time.Second, 9 * time.Second, 0},
	{spoilAnswers, 2 * time.Second, 6 * time.Second, 0},
	{endlessAnswer, 2 * time.Second, 6 * time.Second, 0},
	{invalidHead, 2 * time.Second, 6 * time.Second, 0},
	{breakUploads, 2 * time.Second, 6 * time.Second, 0},
	{invalidEntries, 2 * time.Second, 6 * time.Second, 0},
}

// fault is one fault of a run: it begins at Start, counted from the start of the run, and lasts for Duration.
type fault struct {
	Kind     faultKind
	Start    time.Duration
	Duration time.Duration
	// Target selects among the candidates, modulo their number; Strength is the strength of the fault, from 0 to 1.
	Target   int
	Strength float64
}

// String formats the fault for the output line of a run.
func (f fault) String() string {
	return fmt.Sprintf("%s#%d@%s+%s", f.Kind, f.Target, f.Start, f.Duration)
}

// selectKinds returns the kinds with the given names, or the default kinds if names is empty.
func selectKinds(names []string) ([]kindRange, error) {
	if len(names) == 0 {
		return defaultKinds, nil
	}
	var selected []kindRange
	known := slices.Concat(defaultKinds, explicitKinds)
	for _, name := range names {
		index := slices.IndexFunc(known, func(kind kindRange) bool { return string(kind.kind) == name })
		if index < 0 {
			return nil, fmt.Errorf("no fault is named %q", name)
		}
		selected = append(selected, known[index])
	}
	return selected, nil
}

const (
	// minFaults and maxFaults bound the number of faults in a run.
	minFaults, maxFaults = 3, 8
	// maxDraws bounds the number of draws: a draw is discarded if its kind has reached its maximum.
	maxDraws = 100
)

// drawFaults returns the faults that seed draws from kinds, ordered by start; they may overlap.
func drawFaults(seed uint64, length time.Duration, kinds []kindRange) []fault {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	count := minFaults + random.IntN(maxFaults-minFaults+1)
	counts := map[faultKind]int{}
	var faults []fault
	for draws := 0; len(faults) < count && draws < maxDraws; draws++ {
		drawn := kinds[random.IntN(len(kinds))]
		if drawn.maxPerRun > 0 && counts[drawn.kind] >= drawn.maxPerRun {
			continue
		}
		counts[drawn.kind]++
		span := float64(drawn.longest - drawn.shortest)
		faults = append(faults, fault{
			Kind: drawn.kind, Target: random.IntN(1 << 16), Strength: random.Float64(),
			Duration: (drawn.shortest + time.Duration(random.Float64()*span)).Round(10 * time.Millisecond),
			// No fault begins in the last quarter, which shows that the system recovers.
			Start: time.Duration(random.Float64() * 0.75 * float64(length)).Round(10 * time.Millisecond),
		})
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.Start - b.Start) })
	return faults
}
