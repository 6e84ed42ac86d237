package platform

import (
	"bytes"
	"context"

	"github.com/joomcode/errorx"
)

// WriteMark identifies a write, so that its outcome can be determined after its answer was lost: the
// transaction writes a value that contains ID at Key, and has a Condition on Key. ID must be unique among all writes.
type WriteMark struct {
	Key string
	ID  string
}

// CommitSettled commits transaction. If the answer is lost, it determines the outcome by reading mark.Key back:
//   - If the value contains mark.ID, the transaction took effect. This includes a later write whose value lists the ID.
//   - If the key still satisfies the Condition, the transaction has not taken effect. It is sent again, which
//     is safe, since the Condition lets only one of the two attempts take effect.
//   - Otherwise another write is there, which may have replaced this one, so an error of
//     KindUnknownOutcome is returned.
//
// The Revision of a result determined by reading back is the ModRevision of mark.Key. If ctx ends first,
// the error is of KindUnknownOutcome. A transaction without a Condition on mark.Key is refused with KindRefused.
func CommitSettled(ctx context.Context, store KeyValue, transaction Transaction, mark WriteMark) (CommitResult, error) {
	expectedRevision, hasCondition := conditionOn(transaction, mark.Key)
	if !hasCondition {
		return CommitResult{}, KindRefused.New("transaction has no condition on %s", mark.Key)
	}
	retryBackoff := NewBackoff()
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
		commitError := err
		entry, err := readBack(ctx, store, mark.Key, retryBackoff)
		if err != nil {
			return CommitResult{}, KindUnknownOutcome.Wrap(commitError, "not settled in time")
		}
		if bytes.Contains(entry.Value, []byte(mark.ID)) {
			return CommitResult{Committed: true, Revision: entry.ModRevision}, nil
		}
		if entry.ModRevision != expectedRevision {
			return CommitResult{}, KindUnknownOutcome.Wrap(commitError, "another write took the place of %s", mark.ID)
		}
		if retryBackoff.Wait(ctx) != nil {
			return CommitResult{}, KindUnknownOutcome.Wrap(commitError, "not settled in time")
		}
	}
}

// settleAnswer interprets the answer to a transaction that may have been sent before: if a retry's
// Condition fails because an earlier attempt took effect, the transaction is committed.
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

// readBack reads key, retrying until it succeeds or ctx ends.
func readBack(ctx context.Context, store KeyValue, key string, retryBackoff *Backoff) (Entry, error) {
	for {
		entry, err := store.Get(ctx, key)
		if err == nil {
			return entry, nil
		}
		if waitError := retryBackoff.Wait(ctx); waitError != nil {
			return Entry{}, err
		}
	}
}

// conditionOn returns the ModRevision that transaction requires of key; found is false without such a Condition.
func conditionOn(transaction Transaction, key string) (modRevision int64, found bool) {
	for _, condition := range transaction.Conditions {
		if condition.Key == key {
			return condition.ModRevision, true
		}
	}
	return 0, false
}
