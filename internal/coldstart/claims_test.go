package coldstart

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// faultless returns a connection to the store without faults.
func faultless(store *memoryStore) *faultyStore {
	return &faultyStore{store: store, resume: func() {}, random: rand.New(rand.NewPCG(1, 2))}
}

func claimOf(replicaID string, number int) claim {
	return claim{handle: replica.NewHandle(replica.Info{ID: replicaID}), key: passKey(replicaID, number), requests: 3, coldFor: 3 * time.Second}
}

func TestPassOfOneNodeEndsASecondBeforeThatOfTheNext(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		first := &claimer{store: faultless(store), node: "one"}
		second := &claimer{store: faultless(store), node: "two"}
		held, err := first.claimAll(context.Background(), []claim{claimOf("r", 0)})
		if err != nil || len(held) != 1 {
			t.Fatalf("held %d, error %v", len(held), err)
		}
		for {
			next, err := second.claimAll(context.Background(), []claim{claimOf("r", 0)})
			if err != nil {
				t.Fatal(err)
			}
			if len(next) == 0 {
				time.Sleep(time.Millisecond)
				continue
			}
			if between := time.Since(held[0].until); between < time.Second+replica.SendWithin {
				t.Errorf("the next node held the pass %s after the end of the first one's", between)
			}
			return
		}
	})
}

func TestPassNeverOutlivesALeaseWhoseAnswerIsMissing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		link := faultless(store)
		holder := &claimer{store: link, node: "one"}
		wanted := claimOf("r", 0)
		held, err := holder.claimAll(context.Background(), []claim{wanted})
		if err != nil || len(held) != 1 {
			t.Fatalf("held %d, error %v", len(held), err)
		}
		until := held[0].until
		// The pass is renewed as early as possible and for the shortest time, and the answer is lost.
		time.Sleep(time.Until(until) - claimRetryInterval + time.Millisecond)
		wanted.revision, wanted.coldFor = held[0].revision, 0
		link.set(func() { link.answeredCalls = 1 })
		if _, err := holder.claimAll(context.Background(), []claim{wanted}); err == nil {
			t.Fatal("the claim was answered")
		}
		second := &claimer{store: faultless(store), node: "two"}
		for {
			next, err := second.claimAll(context.Background(), []claim{claimOf("r", 0)})
			if err != nil {
				t.Fatal(err)
			}
			if len(next) > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if between := time.Since(until); between < time.Second+replica.SendWithin {
			t.Errorf("the next node held the pass %s after the end of the first one's", between)
		}
	})
}

func TestPassesThatOthersHoldAreLeftOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		other := &claimer{store: faultless(store), node: "other"}
		if _, err := other.claimAll(context.Background(), []claim{claimOf("r", 1)}); err != nil {
			t.Fatal(err)
		}
		own := &claimer{store: faultless(store), node: "own"}
		held, err := own.claimAll(context.Background(), []claim{claimOf("q", 0), claimOf("r", 1), claimOf("r", 2)})
		if err != nil {
			t.Fatal(err)
		}
		if len(held) != 2 || held[0].claim.key != passKey("q", 0) || held[1].claim.key != passKey("r", 2) {
			t.Errorf("held %v", held)
		}
	})
}

func TestNodeThatWasStartedAgainHoldsNoPass(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		for _, want := range []int{1, 0} {
			restarted := &claimer{store: faultless(store), node: "same"}
			held, err := restarted.claimAll(context.Background(), []claim{claimOf("r", 0)})
			if err != nil || len(held) != want {
				t.Errorf("held %d, want %d, error %v", len(held), want, err)
			}
		}
	})
}
