package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// keyValueStore is the Store on the platform's key-value service. It has no state of
// its own: each transaction is conditional on the head that it was planned against.
type keyValueStore struct {
	keyValue platform.KeyValue
	logger   zerolog.Logger
}

// NewStore returns a Store on keyValue.
func NewStore(keyValue platform.KeyValue, logger zerolog.Logger) Store {
	return &keyValueStore{keyValue: keyValue, logger: logger.With().Str(logging.FieldSlice, "config").Logger()}
}

func newNotFoundError(id ID) error {
	return outcome.New(outcome.Failed, outcome.ReasonNotFound, id.String()+" does not exist")
}

func newReferenceError(resulting declarationSet) error {
	var problems []Problem
	for _, found := range checkReferences(resulting) {
		problems = append(problems, found.Problem)
	}
	return strictyaml.NewValidationError(problems)
}

// Apply implements Store.
func (s *keyValueStore) Apply(ctx context.Context, file []byte, expectRevision int64) (ApplyResult, error) {
	parsed, err := Parse(file)
	if err != nil {
		return ApplyResult{}, err
	}
	return s.commit(ctx, edit{put: parsed.Declarations}, expectRevision)
}

// Diff implements Store.
func (s *keyValueStore) Diff(ctx context.Context, file []byte) (ApplyResult, error) {
	parsed, err := Parse(file)
	if err != nil {
		return ApplyResult{}, err
	}
	snapshot, _, err := s.read(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	planned, err := planEdit(newDeclarationSet(snapshot.Declarations()), edit{put: parsed.Declarations})
	return ApplyResult{Revision: snapshot.Revision, Changes: planned.changes}, err
}

// Withdraw implements Store.
func (s *keyValueStore) Withdraw(ctx context.Context, kind Kind, name string, expectRevision int64) (ApplyResult, error) {
	return s.commit(ctx, edit{withdraw: &ID{Kind: kind, Name: name}}, expectRevision)
}

// Load implements Store.
func (s *keyValueStore) Load(ctx context.Context) (*Snapshot, error) {
	snapshot, _, err := s.read(ctx)
	return snapshot, err
}

// errHeadMoved means that another writer changed the head; the edit is planned again.
var errHeadMoved = errors.New("another change came first")

const (
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = time.Second
	// maxRetryTime limits how long an edit is retried while other writers win the race
	// or the key-value service refuses.
	maxRetryTime = 3 * time.Second
	// retryAfter is the delay suggested to an operator after a refusal.
	retryAfter = 5 * time.Second
)

// commit plans the edit against the current revision and writes it in one
// transaction. A writer that loses a race plans again; with an expected revision
// that then ends in a ConflictError.
func (s *keyValueStore) commit(ctx context.Context, requested edit, expectRevision int64) (ApplyResult, error) {
	attempt := func() (ApplyResult, error) {
		result, err := s.tryCommit(ctx, requested, expectRevision)
		if err != nil && !isRetryable(err) {
			err = backoff.Permanent(err)
		}
		return result, err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	delays.MaxInterval = maxRetryDelay
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(maxRetryTime))
	if errors.Is(err, errHeadMoved) {
		err = outcome.Wrap(err, outcome.NotRun, outcome.ReasonConflict,
			"the configuration changes too often; nothing was changed").After(retryAfter)
	}
	var typed *outcome.Error
	if err != nil && ctx.Err() != nil && !errors.As(err, &typed) && errors.Is(err, context.Cause(ctx)) {
		err = outcome.Wrap(err, outcome.NotRun, outcome.ReasonDeadline, "not accepted in time; nothing was changed")
	}
	return result, err
}

// isRetryable reports whether an edit that had no effect may succeed on a retry.
func isRetryable(err error) bool {
	var typed *outcome.Error
	unavailable := errors.As(err, &typed) && typed.Outcome == outcome.NotRun && typed.Reason == outcome.ReasonUnavailable
	return unavailable || errors.Is(err, errHeadMoved)
}

func (s *keyValueStore) tryCommit(ctx context.Context, requested edit, expectRevision int64) (ApplyResult, error) {
	snapshot, headEntry, err := s.read(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	planned, err := planEdit(newDeclarationSet(snapshot.Declarations()), requested)
	if expectRevision != AnyRevision && expectRevision != snapshot.Revision {
		return ApplyResult{}, &ConflictError{Expected: expectRevision, Present: snapshot.Revision, Overwritten: planned.changes}
	}
	if err != nil {
		return ApplyResult{}, err
	}
	if len(planned.changes) == 0 {
		return ApplyResult{Revision: snapshot.Revision}, nil
	}
	revision, err := s.write(ctx, headEntry, planned.objects)
	if err != nil {
		return ApplyResult{}, err
	}
	s.logger.Info().Int64(logging.FieldRevision, revision).Int("changes", len(planned.changes)).Msg("configuration_accepted")
	return ApplyResult{Revision: revision, Changes: planned.changes}, nil
}

func (s *keyValueStore) read(ctx context.Context) (*Snapshot, platform.Entry, error) {
	listing, err := s.keyValue.List(ctx, KeyPrefix)
	if err != nil {
		return nil, platform.Entry{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable,
			"the configuration cannot be read; nothing was changed").After(retryAfter)
	}
	snapshot, headEntry, err := readEntries(listing.Entries)
	if err != nil {
		return nil, platform.Entry{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInternal,
			"the stored configuration is damaged; nothing was changed")
	}
	return snapshot, headEntry, nil
}

// write commits one transaction on the condition that the head is still headEntry.
// If the response is lost, the write id in the head tells whether it took effect.
func (s *keyValueStore) write(ctx context.Context, headEntry platform.Entry, objects []platform.Change) (int64, error) {
	head, err := decodeHead(headEntry)
	if err != nil {
		return 0, err
	}
	writeID := ulid.Make().String()
	next := head.next(writeID)
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode the configuration's head: %w", err)
	}
	transaction := platform.Transaction{
		Conditions: []platform.Condition{{Key: KeyHead, ModRevision: headEntry.ModRevision}},
		Changes:    append([]platform.Change{{Key: KeyHead, Value: value}}, objects...),
	}
	result, err := platform.CommitSettled(ctx, s.keyValue, transaction, platform.WriteMark{Key: KeyHead, ID: writeID})
	switch {
	case err == nil && result.Committed:
		return next.Revision, nil
	case err == nil:
		return 0, errHeadMoved
	case errorx.IsOfType(err, platform.KindUnknownOutcome):
		return s.settle(ctx, next, err)
	case errorx.IsOfType(err, platform.KindRefused):
		return 0, outcome.Wrap(err, outcome.NotRun, outcome.ReasonTooLarge, fmt.Sprintf(
			"the key-value service refuses a transaction of %d changes; nothing was changed", len(transaction.Changes)))
	}
	return 0, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable,
		"the key-value service did not take the change; nothing was changed").After(retryAfter)
}

// settle determines whether a write with an unknown outcome took effect before other
// writes replaced the head. The head lists the last recentWrites writes, so a write
// missing from it was never made, unless more writes than that have followed.
func (s *keyValueStore) settle(ctx context.Context, next Head, lost error) (int64, error) {
	unknown := outcome.Wrap(lost, outcome.Indeterminate, outcome.ReasonUnavailable,
		"the change may have been accepted (write "+next.WriteID+"); read the configuration before you try again")
	entry, err := s.keyValue.Get(ctx, KeyHead)
	if err != nil {
		s.logger.Warn().Err(err).Str("write_id", next.WriteID).Msg("configuration_outcome_unknown")
		return 0, unknown
	}
	head, err := decodeHead(entry)
	if err != nil {
		return 0, unknown
	}
	if revision, found := head.find(next.WriteID); found {
		return revision, nil
	}
	if head.Revision < next.Revision || head.Revision > next.Revision+recentWrites {
		return 0, unknown
	}
	return 0, errHeadMoved
}
