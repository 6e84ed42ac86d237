package discovery

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

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
}

func (s silence) String() string {
	return fmt.Sprintf("silences %v, gaps %v, compacted %s before", s.lengths, s.gaps, s.compactedBefore)
}

// drawSilence draws an order of events. The first silence begins at a random phase of the nodes' calls.
func drawSilence(random *rand.Rand, compacts bool) silence {
	upTo := func(limit time.Duration) time.Duration {
		return time.Duration(random.Int64N(int64(limit))).Truncate(time.Millisecond)
	}
	drawn := silence{}
	for range 1 + random.IntN(2) {
		drawn.lengths = append(drawn.lengths, time.Second+upTo(maxSilence-time.Second))
		drawn.gaps = append(drawn.gaps, upTo(3*time.Second))
	}
	if compacts {
		drawn.compactedBefore = time.Millisecond + upTo(1500*time.Millisecond)
	}
	return drawn
}

// silentFleet is a testFleet whose nodes reach their store over HTTP.
type silentFleet struct {
	*testFleet
	store   *httpStore
	version int64
}

func startSilentFleet(t *testing.T, nodes int) *silentFleet {
	store := newHTTPStore(t)
	fleet := newTestFleet(t, nil, nodes)
	fleet.storeOf = func(node *fleetNode) platform.KeyValue {
		return store.client(func() time.Duration { return node.feed.Hold() })
	}
	f := &silentFleet{testFleet: fleet, store: store}
	for number := range 6 {
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
		time.Sleep(length)
		f.store.setSilent(false)
	}
	f.change()
}

// late returns a line for each node that does not know the last change.
func (f *silentFleet) late() []string {
	synctest.Wait()
	var late []string
	for _, node := range f.nodes {
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

// TestChangeAcknowledgedAtTheEndOfASilenceIsKnownInTime: the store answers no call for a while, and calls begun then are never answered. A
// change that it acknowledges at the moment of its recovery is known to every node within the bound, whatever the length of the silence,
// the phase of the nodes' calls, and whether they have to list because the history was dropped before.
func TestChangeAcknowledgedAtTheEndOfASilenceIsKnownInTime(t *testing.T) {
	const nodes, plays = 9, 25
	for _, compacts := range []bool{false, true} {
		for seed := range uint64(plays) {
			t.Run(fmt.Sprintf("compacts=%t/seed=%d", compacts, seed), func(t *testing.T) {
				drawn := drawSilence(rand.New(rand.NewPCG(seed, 0)), compacts)
				synctest.Test(t, func(t *testing.T) {
					fleet := startSilentFleet(t, nodes)
					time.Sleep(5*time.Second + time.Duration(seed)*37*time.Millisecond)
					fleet.play(drawn)
					time.Sleep(changeBound)
					for _, line := range fleet.late() {
						t.Errorf("%s after %s: %s", drawn, changeBound, line)
					}
					fleet.stop()
				})
			})
		}
	}
}
