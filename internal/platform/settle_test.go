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

// callOutcome is what happens to one call to unreliableStore.
type callOutcome int

const (
	succeeds callOutcome = iota
	refused
	lostRequest
	lostAnswer
	// delayed loses the answer; the transaction takes effect at a later time if its condition still holds.
	delayed
)

// event is what happens before a call.
type event int

const (
	nothing event = iota
	applyDelayed
	otherWrites
)

// next removes and returns the first element of drawn, or returns the zero value if drawn is empty.
func next[T any](drawn *[]T) T {
	var first T
	if len(*drawn) > 0 {
		first, *drawn = (*drawn)[0], (*drawn)[1:]
	}
	return first
}

// unreliableStore is a store of one key whose calls have the drawn outcomes. Another writer may write between calls.
type unreliableStore struct {
	platform.KeyValue
	// outcomes and events are consumed in order; after that calls succeed and no events happen.
	outcomes []callOutcome
	events   []event
	entry    platform.Entry
	// pending holds the delayed transactions, accepted all values written.
	pending  []platform.Transaction
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

// runEvent makes the next drawn event happen.
func (s *unreliableStore) runEvent() {
	switch next(&s.events) {
	case applyDelayed:
		s.applyPending()
	case otherWrites:
		s.put(fmt.Sprintf("other-%d", s.entry.ModRevision))
	case nothing:
	}
}

func (s *unreliableStore) applyPending() {
	for _, transaction := range s.pending {
		s.apply(transaction)
	}
	s.pending = nil
}

func (s *unreliableStore) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	s.runEvent()
	switch next(&s.outcomes) {
	case refused:
		return platform.CommitResult{}, platform.KindRateLimited.New("refused")
	case lostRequest:
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	case lostAnswer:
		s.apply(transaction)
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	case delayed:
		s.pending = append(s.pending, transaction)
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	default:
		committed := s.apply(transaction)
		return platform.CommitResult{Committed: committed, Revision: s.entry.ModRevision, Current: []platform.Entry{s.entry}}, nil
	}
}

func (s *unreliableStore) Get(context.Context, string) (platform.Entry, error) {
	s.runEvent()
	if next(&s.outcomes) != succeeds {
		return platform.Entry{}, platform.KindUnavailable.New("away")
	}
	return s.entry, nil
}

// TestCommitSettledReportsTrueOutcome checks that a write takes effect at most once, and that the reported outcome
// is correct.
func TestCommitSettledReportsTrueOutcome(t *testing.T) {
	outcomes := rapid.SliceOfN(rapid.SampledFrom([]callOutcome{succeeds, refused, lostRequest, lostAnswer, delayed, delayed}), 1, 8)
	events := rapid.SliceOfN(rapid.SampledFrom([]event{nothing, nothing, applyDelayed, applyDelayed, otherWrites}), 6, 16)
	rapid.Check(t, func(r *rapid.T) {
		store := &unreliableStore{
			entry: platform.Entry{Key: settledKey}, outcomes: outcomes.Draw(r, "fates"), events: events.Draw(r, "events"),
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

// settle makes one write and returns a description of a wrong outcome, or an empty string.
func (s *unreliableStore) settle(t *testing.T) string {
	transaction := platform.Transaction{
		Conditions: []platform.Condition{{Key: settledKey}},
		Changes:    []platform.Change{{Key: settledKey, Value: []byte(settledID)}},
	}
	result, err := platform.CommitSettled(t.Context(), s, transaction, platform.WriteMark{Key: settledKey, ID: settledID})
	s.applyPending()
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
		return fmt.Sprintf("reported committed %v, took effect %d times", result.Committed, times)
	case err != nil && !errorx.IsOfType(err, platform.KindUnknownOutcome) && times > 0:
		return fmt.Sprintf("reported %v, but the write took effect", err)
	default:
		return ""
	}
}
