package platform

import (
	"bytes"
	"context"

	"github.com/joomcode/errorx"
)

// WriteMark names a write so that a lost answer can be settled: the transaction
// puts a value that contains ID at Key, and has a Condition on Key. ID is unique among all writes.
type WriteMark struct {
	Key string
	ID  string
}

// CommitSettled makes transaction and settles a lost answer by reading mark.Key back:
//   - the value contains mark.ID: it took effect;
//   - the key is as the Condition asks: it has not taken effect. The same transaction is sent again, which
//     is safe, since the Condition lets only one of the two take effect;
//   - another write is there: a later one may have replaced ours, so the error of
//     KindUnknownOutcome stands, unless that value lists our ID.
//
// A settled result carries the ModRevision of mark.Key as its Revision. When ctx ends first,
// the error is of KindUnknownOutcome.
func CommitSettled(ctx context.Context, store KeyValue, transaction Transaction, mark WriteMark) (CommitResult, error) {
	expected, marked := conditionOn(transaction, mark.Key)
	if !marked {
		return CommitResult{}, KindRefused.New("transaction has no condition on %s", mark.Key)
	}
	waits := NewBackoff()
	maybeSent := false
	for {
		result, err := store.Commit(ctx, transaction)
		if err == nil {
			return settleAnswer(result, maybeSent, mark)
		}
		if errorx.IsOfType(err, KindUnknownOutcome) {
			maybeSent = true
		}
		if !maybeSent {
			return CommitResult{}, err
		}
		lost := err
		entry, err := readBack(ctx, store, mark.Key, waits)
		if err != nil {
			return CommitResult{}, KindUnknownOutcome.Wrap(lost, "not settled in time")
		}
		if bytes.Contains(entry.Value, []byte(mark.ID)) {
			return CommitResult{Committed: true, Revision: entry.ModRevision}, nil
		}
		if entry.ModRevision != expected {
			return CommitResult{}, KindUnknownOutcome.Wrap(lost, "another write took the place of %s", mark.ID)
		}
		if waits.Wait(ctx) != nil {
			return CommitResult{}, KindUnknownOutcome.Wrap(lost, "not settled in time")
		}
	}
}

// settleAnswer reads the answer to a transaction that may have been sent before: a refused
// repetition is a success where the first one stands.
func settleAnswer(result CommitResult, maybeSent bool, mark WriteMark) (CommitResult, error) {
	if result.Committed || !maybeSent {
		return result, nil
	}
	for _, entry := range result.Current {
		if entry.Key == mark.Key && bytes.Contains(entry.Value, []byte(mark.ID)) {
			return CommitResult{Committed: true, Revision: entry.ModRevision}, nil
		}
	}
	return CommitResult{}, KindUnknownOutcome.New("another write took the place of %s", mark.ID)
}

func readBack(ctx context.Context, store KeyValue, key string, waits *Backoff) (Entry, error) {
	for {
		entry, err := store.Get(ctx, key)
		if err == nil {
			return entry, nil
		}
		if waitError := waits.Wait(ctx); waitError != nil {
			return Entry{}, err
		}
	}
}

func conditionOn(transaction Transaction, key string) (modRevision int64, found bool) {
	for _, condition := range transaction.Conditions {
		if condition.Key == key {
			return condition.ModRevision, true
		}
	}
	return 0, false
}
