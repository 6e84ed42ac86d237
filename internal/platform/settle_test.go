package platform_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/platform"
)

// fate is what happens to one call to unreliableStore.
type fate int

const (
	works fate = iota
	refused
	lostBefore
	lostAfter
	// delayed takes effect, if its condition still holds, at some later time.
	delayed
)

// unreliableStore is one key whose calls meet the drawn fates. Another writer may come in between.
type unreliableStore struct {
	platform.KeyValue
	draw     func(label string) fate
	chance   func(label string) bool
	entry    platform.Entry
	late     []platform.Transaction
	accepted []string
}

func (s *unreliableStore) apply(transaction platform.Transaction) bool {
	if transaction.Conditions[0].ModRevision != s.entry.ModRevision {
		return false
	}
	s.put(string(transaction.Changes[0].Value))
	return true
}

func (s *unreliableStore) put(value string) {
	s.entry.ModRevision++
	s.entry.Value = []byte(value)
	s.accepted = append(s.accepted, value)
}

// between is what others do between two calls.
func (s *unreliableStore) between() {
	if s.chance("late ones arrive") {
		s.arrive()
	}
	if s.chance("another writes") {
		s.put(fmt.Sprintf("other-%d", s.entry.ModRevision))
	}
}

func (s *unreliableStore) arrive() {
	for _, transaction := range s.late {
		s.apply(transaction)
	}
	s.late = nil
}

func (s *unreliableStore) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	s.between()
	switch s.draw("commit") {
	case refused:
		return platform.CommitResult{}, platform.KindRateLimited.New("refused")
	case lostBefore:
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	case lostAfter:
		s.apply(transaction)
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	case delayed:
		s.late = append(s.late, transaction)
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	default:
		committed := s.apply(transaction)
		return platform.CommitResult{Committed: committed, Revision: s.entry.ModRevision, Current: []platform.Entry{s.entry}}, nil
	}
}

func (s *unreliableStore) Get(context.Context, string) (platform.Entry, error) {
	s.between()
	if s.draw("get") != works {
		return platform.Entry{}, platform.KindUnavailable.New("away")
	}
	return s.entry, nil
}

// TestCommitSettledTellsTheTruth checks that a write takes effect at most once, and that the outcome told is
// the true one.
func TestCommitSettledTellsTheTruth(t *testing.T) {
	fates := rapid.SampledFrom([]fate{works, works, works, refused, lostBefore, lostAfter, delayed})
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			const key, id = "/key", "write-id"
			store := &unreliableStore{
				entry:  platform.Entry{Key: key},
				draw:   func(label string) fate { return fates.Draw(r, label) },
				chance: func(label string) bool { return rapid.IntRange(0, 4).Draw(r, label) == 0 },
			}
			transaction := platform.Transaction{
				Conditions: []platform.Condition{{Key: key}},
				Changes:    []platform.Change{{Key: key, Value: []byte(id)}},
			}
			result, err := platform.CommitSettled(t.Context(), store, transaction, platform.WriteMark{Key: key, ID: id})
			store.arrive()
			times := 0
			for _, value := range store.accepted {
				if value == id {
					times++
				}
			}
			switch {
			case times > 1:
				r.Fatalf("the write took effect %d times", times)
			case err == nil && result.Committed != (times == 1):
				r.Fatalf("told %v, took effect %d times", result.Committed, times)
			case err != nil && !errorx.IsOfType(err, platform.KindUnknownOutcome) && times > 0:
				r.Fatalf("told %v, yet it took effect", err)
			}
		})
	})
}
