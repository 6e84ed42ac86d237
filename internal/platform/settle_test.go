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

// event is what happens between two calls.
type event int

const (
	nothing event = iota
	lateArrive
	otherWrites
)

// next takes the first of drawn, or the zero value where all are used up.
func next[T any](drawn *[]T) T {
	var first T
	if len(*drawn) > 0 {
		first, *drawn = (*drawn)[0], (*drawn)[1:]
	}
	return first
}

// unreliableStore is one key whose calls meet the drawn fates. Another writer may come in between.
type unreliableStore struct {
	platform.KeyValue
	// fates and events are used up in order; then calls work and nothing happens in between.
	fates    []fate
	events   []event
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
	switch next(&s.events) {
	case lateArrive:
		s.arrive()
	case otherWrites:
		s.put(fmt.Sprintf("other-%d", s.entry.ModRevision))
	case nothing:
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
	switch next(&s.fates) {
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
	if next(&s.fates) != works {
		return platform.Entry{}, platform.KindUnavailable.New("away")
	}
	return s.entry, nil
}

// TestCommitSettledTellsTheTruth checks that a write takes effect at most once, and that the outcome told is
// the true one.
func TestCommitSettledTellsTheTruth(t *testing.T) {
	fates := rapid.SliceOfN(rapid.SampledFrom([]fate{works, refused, lostBefore, lostAfter, delayed, delayed}), 1, 8)
	events := rapid.SliceOfN(rapid.SampledFrom([]event{nothing, nothing, lateArrive, lateArrive, otherWrites}), 6, 16)
	rapid.Check(t, func(r *rapid.T) {
		store := &unreliableStore{
			entry: platform.Entry{Key: settledKey}, fates: fates.Draw(r, "fates"), events: events.Draw(r, "events"),
		}
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = store.settle(t) })
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

const (
	settledKey = "/key"
	settledID  = "write-id"
)

// settle makes one write and returns what is wrong with its outcome.
func (s *unreliableStore) settle(t *testing.T) string {
	transaction := platform.Transaction{
		Conditions: []platform.Condition{{Key: settledKey}},
		Changes:    []platform.Change{{Key: settledKey, Value: []byte(settledID)}},
	}
	result, err := platform.CommitSettled(t.Context(), s, transaction, platform.WriteMark{Key: settledKey, ID: settledID})
	s.arrive()
	times := 0
	for _, value := range s.accepted {
		if value == settledID {
			times++
		}
	}
	switch {
	case times > 1:
		return fmt.Sprintf("the write took effect %d times", times)
	case err == nil && result.Committed != (times == 1):
		return fmt.Sprintf("told %v, took effect %d times", result.Committed, times)
	case err != nil && !errorx.IsOfType(err, platform.KindUnknownOutcome) && times > 0:
		return fmt.Sprintf("told %v, yet it took effect", err)
	default:
		return ""
	}
}
