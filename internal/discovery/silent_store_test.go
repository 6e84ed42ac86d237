package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/platform"
)

const (
	// changeBound is the platform's shortest bound from the acknowledgement of a change, or of a replica's drain, to the last node.
	changeBound = 2 * time.Second
	// maxSilence is the longest silence of the store in these tests.
	maxSilence = 30 * time.Second
)

// silence is one drawn order of events around a silence of the store.
type silence struct {
	// lengths are the lengths of the silences, gaps the times between them.
	lengths, gaps []time.Duration
	// compactedBefore is how long before the first silence the store drops its history; 0 for not at all.
	compactedBefore time.Duration
	// latencyAfter is the latency of calls after the last silence, answersLate how late the calls of a silence are answered; 0 for never.
	latencyAfter, answersLate time.Duration
	// turnsAwayWatchers makes the store answer no watcher after the last silence, turnsAwayOthers no other node; restarts makes half of the
	// nodes start again during it.
	turnsAwayWatchers, turnsAwayOthers, restarts bool
}

// drawSilence draws an order of events. The first silence begins at a random phase of the nodes' calls.
func drawSilence(random *rand.Rand) silence {
	upTo := func(limit time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(limit))).Truncate(time.Millisecond)
	}
	drawn := silence{latencyAfter: callLatency}
	for range 1 + random.IntN(3) {
		drawn.lengths = append(drawn.lengths, time.Second+upTo(maxSilence-time.Second))
		drawn.gaps = append(drawn.gaps, upTo(3*time.Second))
	}
	return drawn
}

// TestChangeAcknowledgedAtTheEndOfASilenceIsKnownInTime: the store answers no call for a while, and calls begun then are never answered. A
// change that it acknowledges at the moment of its recovery is known to every node within the bound, whatever the length of the silence
// and the phase of the nodes' calls.
func TestChangeAcknowledgedAtTheEndOfASilenceIsKnownInTime(t *testing.T) {
	const nodes = 9
	for _, test := range []struct {
		name  string
		plays uint64
		alter func(drawn *silence, random *rand.Rand)
	}{
		{"watching", 25, func(*silence, *rand.Rand) {}},
		{"history dropped before", 25, func(drawn *silence, random *rand.Rand) {
			drawn.compactedBefore = time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond)))
		}},
		{"slow afterwards", 10, func(drawn *silence, _ *rand.Rand) { drawn.latencyAfter = 250 * time.Millisecond }},
		{"answers of the silence come late", 10, func(drawn *silence, random *rand.Rand) {
			drawn.answersLate = time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
		}},
		{"watchers not answered afterwards", 10, func(drawn *silence, _ *rand.Rand) { drawn.turnsAwayWatchers = true }},
		{"only watchers answered afterwards", 10, func(drawn *silence, _ *rand.Rand) { drawn.turnsAwayOthers = true }},
		{"nodes start during the silence", 10, func(drawn *silence, _ *rand.Rand) { drawn.restarts = true }},
	} {
		for seed := range test.plays {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				drawn := drawSilence(random)
				test.alter(&drawn, random)
				synctest.Test(t, func(t *testing.T) {
					fleet := startSilentFleet(t, nodes)
					time.Sleep(5*time.Second + time.Duration(seed)*37*time.Millisecond)
					fleet.play(drawn)
					time.Sleep(changeBound)
					for _, line := range fleet.late() {
						t.Errorf("%s after the change, %+v: %s", changeBound, drawn, line)
					}
					fleet.stop()
				})
			})
		}
	}
}

// silentFleet is a testFleet whose nodes reach their store over HTTP.
type silentFleet struct {
	*testFleet
	store   *httpStore
	version int64
	// exempt holds the indices of the nodes that need not know changes.
	exempt []int
}

// startSilentFleet starts nodes with a short list of replicas.
func startSilentFleet(t *testing.T, nodes int) *silentFleet { return startSilentFleetWith(t, nodes, 6) }

func startSilentFleetWith(t *testing.T, nodes, replicas int) *silentFleet {
	store := newHTTPStore()
	fleet := newTestFleet(t, nil, nodes)
	fleet.connect = func(node *fleetNode) (platform.KeyValue, changefeed.ServiceMonitor) {
		return store.connect(t, func() *changefeed.Feed { return node.feed })
	}
	f := &silentFleet{testFleet: fleet, store: store}
	for number := range replicas {
		store.put(replicaKey(number), replicaValue(number))
	}
	f.change()
	fleet.start()
	return f
}

// change writes a new version of the configuration and makes a replica start or stop draining.
func (f *silentFleet) change() {
	f.version++
	f.store.put("op/config", strconv.FormatInt(f.version, 10))
	value := replicaValue(0)
	if f.drains() {
		value += "!"
	}
	f.store.put(replicaKey(0), value)
}

// drains reports whether replica 0 is draining at the current version.
func (f *silentFleet) drains() bool { return f.version%2 == 0 }

// play lets the events of drawn happen, up to a change at the moment of the last recovery.
func (f *silentFleet) play(drawn silence) {
	f.store.setAnswersLate(drawn.answersLate)
	if drawn.compactedBefore > 0 {
		f.change()
		f.store.compact()
		time.Sleep(drawn.compactedBefore)
	}
	for index, length := range drawn.lengths {
		if index > 0 {
			time.Sleep(drawn.gaps[index])
		}
		f.store.setSilent(true)
		time.Sleep(length / 2)
		if drawn.restarts && index == len(drawn.lengths)-1 {
			f.restartHalf()
		}
		time.Sleep(length - length/2)
		f.store.setSilent(false)
	}
	if drawn.turnsAwayWatchers {
		f.exempt = f.watchers()
		f.store.turnAway(f.exempt...)
	}
	if drawn.turnsAwayOthers {
		f.store.turnAway(f.followers()...)
	}
	f.store.setLatency(drawn.latencyAfter)
	f.change()
}

// restartHalf makes every second node start again, each with a new connection to the store.
func (f *silentFleet) restartHalf() {
	members := f.members()
	for number := 0; number < len(f.nodes); number += 2 {
		f.stopNode(f.nodes[number])
		f.nodes[number].running = true
		f.startNode(f.nodes[number], members[number].Zone, members)
	}
}

// watchers returns the indices of the watchers.
func (f *silentFleet) watchers() (indices []int) {
	for index, node := range f.nodes {
		if changefeed.Watches(node.viewer.View()) {
			indices = append(indices, index)
		}
	}
	return indices
}

// followers returns the indices of the nodes that are no watchers.
func (f *silentFleet) followers() (indices []int) {
	watchers := f.watchers()
	for index := range f.nodes {
		if !slices.Contains(watchers, index) {
			indices = append(indices, index)
		}
	}
	return indices
}

// late returns a line for each node that does not know the last change. Watchers that the store does not answer are exempt: nobody passes
// changes on to them.
func (f *silentFleet) late() []string {
	synctest.Wait()
	var late []string
	for index, node := range f.nodes {
		if slices.Contains(f.exempt, index) {
			continue
		}
		version := int64(0)
		if table := node.routes.Table(); table != nil {
			version = table.Version
		}
		handle := node.directory.View().Find(fleetTranslator{}.ReplicaID(replicaKey(0)))
		if version != f.version {
			late = append(late, fmt.Sprintf("%s has version %d, want %d", node.id, version, f.version))
		}
		if handle == nil || handle.Info().Draining != f.drains() {
			late = append(late, fmt.Sprintf("%s does not know that a replica drains: %t", node.id, f.drains()))
		}
	}
	return late
}

func (f *silentFleet) stop() {
	f.testFleet.stop()
	f.store.close()
}

// TestSilenceDrawsFewCalls checks that the number of probes while the store is silent, and of calls in the two seconds after its recovery,
// do not depend on the number of nodes. Two watchers make three to four probes per second each, all other nodes together 20.
func TestSilenceDrawsFewCalls(t *testing.T) {
	const (
		length             = 10 * time.Second
		maxProbesPerSecond = 30
		maxCallsAfter      = 20
	)
	for _, nodes := range []int{9, 120} {
		t.Run(strconv.Itoa(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := startSilentFleet(t, nodes)
				time.Sleep(5 * time.Second)
				before, staleBefore := fleet.store.callCount()
				fleet.play(silence{lengths: []time.Duration{length}, gaps: []time.Duration{0}, latencyAfter: callLatency})
				during, staleDuring := fleet.store.callCount()
				time.Sleep(changeBound)
				after, staleAfter := fleet.store.callCount()
				t.Logf("%d nodes, silent for %s: %d calls and %d probes during it, %d and %d in the %s after it",
					nodes, length, during-before, staleDuring-staleBefore, after-during, staleAfter-staleDuring, changeBound)
				if probes := staleDuring - staleBefore; probes > maxProbesPerSecond*int(length/time.Second) {
					t.Errorf("%d probes in %s, want at most %d per second", probes, length, maxProbesPerSecond)
				}
				if calls := after - during; calls > maxCallsAfter {
					t.Errorf("%d calls after the recovery, want at most %d", calls, maxCallsAfter)
				}
				for _, line := range fleet.late() {
					t.Error(line)
				}
				fleet.stop()
			})
		})
	}
}

// TestDrainAtTheEndOfASilenceIsKnownWithALongList: the list of replicas is so long that nodes get their parts of it from relays. Drains that
// the store acknowledges at the moment of its recovery are known to every node within the bound of such fleets.
func TestDrainAtTheEndOfASilenceIsKnownWithALongList(t *testing.T) {
	const nodes, plays, drained = 60, 3, 200
	for seed := range uint64(plays) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			drawn := drawSilence(rand.New(rand.NewPCG(seed, 1)))
			if seed%2 == 1 {
				drawn.compactedBefore = 300 * time.Millisecond
			}
			synctest.Test(t, func(t *testing.T) {
				fleet := startSilentFleetWith(t, nodes, fleetReplicas)
				time.Sleep(2 * knownWithin)
				fleet.play(drawn)
				for number := 0; number < drained; number += 2 {
					fleet.store.put(replicaKey(number), replicaValue(number)+"!")
				}
				time.Sleep(drainKnownWithin)
				fleet.checkDrainedBelow(drained)
				fleet.stop()
			})
		})
	}
}
