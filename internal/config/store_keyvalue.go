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

// keyValueStore is the Store over the platform's key-value service. It holds no
// state: each change is conditioned on the head that it was planned against.
type keyValueStore struct {
	keyValue platform.KeyValue
	logger   zerolog.Logger
}

// NewStore returns the Store over keyValue.
func NewStore(keyValue platform.KeyValue, logger zerolog.Logger) Store {
	return &keyValueStore{keyValue: keyValue, logger: logger.With().Str(logging.FieldSlice, "config").Logger()}
}

func newAbsentError(id ID) error {
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

// errHeadMoved means that another writer came first; the edit is planned again.
var errHeadMoved = errors.New("another change came first")

const (
	maxRaces       = 16
	firstRetryWait = 20 * time.Millisecond
	maxRetryWait   = time.Second
)

// commit plans the edit against the present revision and writes it in one
// transaction. A writer that loses a race plans again, unless it named a revision.
func (s *keyValueStore) commit(ctx context.Context, wanted edit, expectRevision int64) (ApplyResult, error) {
	attempt := func() (ApplyResult, error) {
		result, err := s.tryCommit(ctx, wanted, expectRevision)
		if err != nil && !errors.Is(err, errHeadMoved) {
			err = backoff.Permanent(err)
		}
		return result, err
	}
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(newBackOff()), backoff.WithMaxTries(maxRaces))
	if errors.Is(err, errHeadMoved) {
		err = outcome.Wrap(err, outcome.NotRun, outcome.ReasonConflict, "the configuration changes too often; nothing was changed")
	}
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	return result, err
}

func newBackOff() *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRetryWait
	wait.MaxInterval = maxRetryWait
	return wait
}

func (s *keyValueStore) tryCommit(ctx context.Context, wanted edit, expectRevision int64) (ApplyResult, error) {
	snapshot, headEntry, err := s.read(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	planned, err := planEdit(newDeclarationSet(snapshot.Declarations()), wanted)
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
		return nil, platform.Entry{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the configuration cannot be read; nothing was changed")
	}
	snapshot, headEntry, err := readEntries(listing.Entries)
	if err != nil {
		return nil, platform.Entry{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInternal, "the stored configuration is damaged; nothing was changed")
	}
	return snapshot, headEntry, nil
}

// write makes one transaction on the condition that the head still is headEntry.
//
// The condition can hold for one transaction only, so sending the same one again
// after a lost answer is safe: at most one of them takes effect, and the write id in
// the head tells whether one did.
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
	var sent bool
	attempt := func() (int64, error) { return s.commitOnce(ctx, transaction, next, &sent) }
	revision, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil && !errors.Is(err, errHeadMoved) {
		return 0, s.writeFailure(err, writeID, sent)
	}
	return revision, err
}

// commitOnce sends the transaction and settles its outcome. sent stays set from the
// first send whose answer was lost.
func (s *keyValueStore) commitOnce(ctx context.Context, transaction platform.Transaction, next Head, sent *bool) (int64, error) {
	result, err := s.keyValue.Commit(ctx, transaction)
	switch {
	case err == nil && result.Committed:
		return next.Revision, nil
	case err == nil && !*sent:
		return 0, backoff.Permanent(errHeadMoved)
	case err == nil:
		return s.settle(ctx, next)
	case errorx.IsOfType(err, platform.KindUnknownOutcome):
		*sent = true
		return 0, err
	case errorx.IsOfType(err, platform.KindUnavailable), errorx.IsOfType(err, platform.KindRateLimited):
		return 0, err
	}
	return 0, backoff.Permanent(err)
}

// settle finds out, after the head has moved, whether an earlier send moved it.
func (s *keyValueStore) settle(ctx context.Context, next Head) (int64, error) {
	entry, err := s.keyValue.Get(ctx, KeyHead)
	if err != nil {
		return 0, err
	}
	head, err := decodeHead(entry)
	if err != nil {
		return 0, backoff.Permanent(err)
	}
	if revision, found := head.find(next.WriteID); found {
		return revision, nil
	}
	if head.Revision > next.Revision+recentWrites {
		return 0, backoff.Permanent(errors.New("too many changes came since to tell"))
	}
	return 0, backoff.Permanent(errHeadMoved)
}

// writeFailure says what is known when the service stayed away for too long.
func (s *keyValueStore) writeFailure(err error, writeID string, sent bool) error {
	s.logger.Warn().Err(err).Str("write_id", writeID).Bool("sent", sent).Msg("configuration_not_accepted")
	if !sent {
		return outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the key-value service did not take the change; nothing was changed")
	}
	return outcome.Wrap(err, outcome.Indeterminate, outcome.ReasonUnavailable, "the change may have been accepted (write "+writeID+"); read the configuration before you try again")
}
