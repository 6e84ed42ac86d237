package discovery

import (
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// TestEvacuationsAreFollowedWhateverHappens makes random evacuation requests while watches stall or are cut, history is compacted, the
// service goes down and the node restarts. Once the service answers again, the node must know the requested evacuations within the bound.
func TestEvacuationsAreFollowedWhateverHappens(t *testing.T) {
	const bound = 4 * time.Second
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 2))
	for range 60 {
		synctest.Test(t, func(t *testing.T) {
			store := storeWithTwoZones()
			node := newNodeUnderTest(t, store)
			node.Start()
			for range 25 {
				node = disturb(t, random, store, node)
				time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
			}
			store.set(func() { store.down, store.stalled, store.compacted = false, false, store.revision })
			store.cut(platform.KindUnavailable.New("cut"))
			time.Sleep(bound)
			if got, want := node.evacuated(), requestedZones(store); got != want {
				t.Errorf("zones %q are evacuated, want %q", got, want)
			}
			node.Stop()
		})
	}
}

// disturb makes one random request or fault. It returns the node, which is a new one after a restart.
func disturb(t *testing.T, random *rand.Rand, store *scriptedStore, node *nodeUnderTest) *nodeUnderTest {
	key := evacuationPrefix + []string{"east", "west"}[random.IntN(2)]
	switch random.IntN(9) {
	case 0, 1, 2:
		store.put(key, "{}")
	case 3, 4:
		store.put(key, "")
	case 5:
		store.set(func() { store.stalled = !store.stalled })
	case 6:
		store.set(func() { store.compacted = store.revision })
		store.cut(platform.KindCompacted.New("gone"))
	case 7:
		store.set(func() { store.down = !store.down })
		store.cut(platform.KindUnavailable.New("down"))
	default:
		if random.IntN(2) == 0 {
			node.viewer.publish(membership.Revisions{Configuration: store.revision})
			return node
		}
		node.Stop()
		node = newNodeUnderTest(t, store)
		node.Start()
	}
	return node
}

// requestedZones returns the zones whose evacuation is requested, in the form of nodeUnderTest.evacuated.
func requestedZones(store *scriptedStore) string {
	var zones []string
	for _, zone := range []string{"east", "west"} {
		if _, found := store.entries[evacuationPrefix+zone]; found {
			zones = append(zones, zone)
		}
	}
	return strings.Join(zones, " ")
}
