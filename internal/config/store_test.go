package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/platform"
)

func modelFile(name, version string) []byte {
	return fmt.Appendf(nil, "kind: Model\nname: %s\nversion: %q\ncontextTokens: 4096\n", name, version)
}

func TestApplyIsWholeOrNothing(t *testing.T) {
	keyValue := newFakeKeyValue()
	store := NewStore(keyValue, zerolog.Nop())
	file := append(modelFile("good", "1"), "---\nkind: Service\nname: s\nmodels: [absent]\nmaxConcurrentPerReplica: 1\nrequestTimeout: 1s\n"...)
	_, err := store.Apply(t.Context(), file, AnyRevision)
	var invalid *ValidationError
	if !errors.As(err, &invalid) || invalid.Problems[0].Line != 8 || invalid.Problems[0].Column != 10 {
		t.Fatalf("wanted a problem at 8:10, got %v", err)
	}
	if len(keyValue.entries) != 0 {
		t.Errorf("a refused file left %d entries", len(keyValue.entries))
	}
}

func TestLoserOfARaceSeesWhatItWouldOverwrite(t *testing.T) {
	store := NewStore(newFakeKeyValue(), zerolog.Nop())
	mustApply(t, store, modelFile("m", "1"), 0)
	mustApply(t, store, modelFile("m", "2"), 1)
	_, err := store.Apply(t.Context(), modelFile("m", "3"), 1)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("wanted a ConflictError, got %v", err)
	}
	if conflict.Present != 2 || len(conflict.Overwritten) != 1 || conflict.Overwritten[0].Before != "kind: Model\nname: m\nversion: \"2\"\ncontextTokens: 4096\n" {
		t.Errorf("conflict does not show the current version: %+v", conflict)
	}
	if snapshot, err := store.Load(t.Context()); err != nil || snapshot.Models["m"].Version != "2" {
		t.Errorf("the loser changed the configuration: %v %v", snapshot, err)
	}
}

func TestWithdrawIsRefusedWhileNamed(t *testing.T) {
	store := NewStore(newFakeKeyValue(), zerolog.Nop())
	file := append(modelFile("m", "1"), "---\nkind: Service\nname: s\nmodels: [m]\nmaxConcurrentPerReplica: 1\nrequestTimeout: 1s\n"...)
	mustApply(t, store, file, 0)
	_, err := store.Withdraw(t.Context(), KindModel, "m", AnyRevision)
	var inUse *InUseError
	if !errors.As(err, &inUse) || len(inUse.Users) != 1 || inUse.Users[0] != "Service s" {
		t.Fatalf("wanted an InUseError that names Service s, got %v", err)
	}
	for _, id := range []ID{{KindService, "s"}, {KindModel, "m"}} {
		if _, err := store.Withdraw(t.Context(), id.Kind, id.Name, AnyRevision); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.Withdraw(t.Context(), KindModel, "m", AnyRevision); outcome.As(err).Reason != outcome.ReasonNotFound {
		t.Errorf("wanted not_found, got %v", err)
	}
}

// TestLostResponseIsIndeterminate: every commit of the key-value service ends without a response. The outcome must be indeterminate.
func TestLostResponseIsIndeterminate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keyValue := newFakeKeyValue()
		keyValue.fault = func() commitFault { return lostBeforeEffect }
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := NewStore(keyValue, zerolog.Nop()).Apply(ctx, modelFile("m", "1"), AnyRevision)
		if outcome.Of(err) != outcome.Indeterminate {
			t.Errorf("wanted an indeterminate outcome, got %v", err)
		}
	})
}

func mustApply(t *testing.T, store Store, file []byte, expect int64) {
	t.Helper()
	result, err := store.Apply(t.Context(), file, expect)
	if err != nil || result.Revision != expect+1 {
		t.Fatalf("apply at revision %d: %+v %v", expect, result, err)
	}
}

// TestOutcomesAreTrueUnderLostAnswers: concurrent writers, with responses lost before and after the effect of the transaction. The outcome
// that a writer gets must be true: an accepted file took effect exactly once, a file with outcome NotRun never.
func TestOutcomesAreTrueUnderLostAnswers(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(noFault), int(lostAfterEffect)), 0, 40).Draw(check, "faults")
		writers := rapid.IntRange(1, 4).Draw(check, "writers")
		rounds := rapid.IntRange(1, 4).Draw(check, "rounds")
		synctest.Test(t, func(*testing.T) { checkOutcomes(check, faults, writers, rounds) })
	})
}

func checkOutcomes(t *rapid.T, faults []int, writers, rounds int) {
	keyValue := newFakeKeyValue()
	applied := map[string]int{}
	keyValue.fault = func() commitFault {
		if len(faults) == 0 {
			return noFault
		}
		next := commitFault(faults[0])
		faults = faults[1:]
		return next
	}
	keyValue.effect = func(transaction platform.Transaction) {
		var model Model
		if err := json.Unmarshal(transaction.Changes[1].Value, &model); err != nil {
			t.Errorf("stored model: %v", err)
		}
		applied[model.Version]++
	}
	store := NewStore(keyValue, zerolog.Nop())
	var group sync.WaitGroup
	var mutex sync.Mutex
	revisions := map[int64]string{}
	for writer := range writers {
		group.Go(func() {
			for round := range rounds {
				version := fmt.Sprintf("w%d-r%d", writer, round)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				result, err := store.Apply(ctx, modelFile("m", version), AnyRevision)
				cancel()
				mutex.Lock()
				if err == nil {
					if other, taken := revisions[result.Revision]; taken {
						t.Errorf("revision %d was given to %s and %s", result.Revision, other, version)
					}
					revisions[result.Revision] = version
				}
				mutex.Unlock()
				wanted := map[outcome.Outcome]int{outcome.Completed: 1, outcome.NotRun: 0}
				count, certain := wanted[outcome.Of(err)]
				keyValue.mutex.Lock()
				if certain && applied[version] != count {
					t.Errorf("%s took effect %d times, but its outcome is %s", version, applied[version], outcome.Of(err))
				}
				keyValue.mutex.Unlock()
			}
		})
	}
	group.Wait()
}
