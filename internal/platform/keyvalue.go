package platform

import (
	"context"
	"time"
)

// Entry is one key with its value. ModRevision is the revision of its last change,
// CreateRevision that of its creation; both are 0 for a key that does not exist.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	LeaseID        LeaseID
}

// Listing is the state of a key prefix at one revision, sorted by key.
type Listing struct {
	Entries  []Entry
	Revision int64
}

// Condition holds if the key's ModRevision equals the given one; 0 means that the key must not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Change writes a value or, if Delete is set, removes the key.
type Change struct {
	Key     string
	Value   []byte
	Delete  bool
	LeaseID LeaseID
}

// Transaction applies all Changes at one revision if all Conditions hold, else none.
type Transaction struct {
	Conditions []Condition
	Changes    []Change
}

// CommitResult is the result of a Transaction. If Committed is false, Current holds the
// entries of the Conditions' keys at that time.
type CommitResult struct {
	Committed bool
	Revision  int64
	Current   []Entry
}

// LeaseID names a lease of the key-value service; 0 is no lease.
type LeaseID int64

// WatchEvent carries changes of one revision, or the error that ended the watch.
type WatchEvent struct {
	// More reports that the next event follows without a further call to the service.
	More     bool
	Revision int64
	Changed  []Entry
	// Deleted holds keys that were removed.
	Deleted []string
	// Err is set on the last event only. After KindCompacted the reader must list again before it watches.
	Err error
}

// KeyValue is the port to the key-value service. It is safe for concurrent use.
// All errors are made by this package; see errors.go.
type KeyValue interface {
	// Get reads one key; an absent key is an Entry with ModRevision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys below prefix at one revision.
	List(ctx context.Context, prefix string) (Listing, error)
	// Commit executes one transaction. After an error of KindUnknownOutcome it may have taken effect.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Watch delivers changes below prefix with revision >= fromRevision, in order,
	// until ctx ends or an event with Err is delivered; then the channel is closed.
	Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan WatchEvent, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live. An expired lease is an error of KindLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) (timeToLive time.Duration, err error)
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// maxEntriesKey is the context key of the maximum size of listings.
type maxEntriesKey struct{}

// WithMaxEntries returns a context in which listings of more than maximum entries fail with KindTooLong.
func WithMaxEntries(ctx context.Context, maximum int) context.Context {
	return context.WithValue(ctx, maxEntriesKey{}, maximum)
}

// CheckMaxEntries returns an error of KindTooLong if entries, the number read so far by an unfinished listing, exceeds the maximum set in ctx;
// else nil.
func CheckMaxEntries(ctx context.Context, entries int) error {
	maximum, bounded := ctx.Value(maxEntriesKey{}).(int)
	if !bounded || entries <= maximum {
		return nil
	}
	return KindTooLong.New("more than %d entries", maximum)
}

// StaleLister is implemented by a KeyValue that offers cheaper listings, which may be seconds old.
type StaleLister interface {
	// ListStale is like KeyValue.List, of a state that may be seconds old.
	ListStale(ctx context.Context, prefix string) (Listing, error)
}

// ChangeReader is implemented by a KeyValue that offers reads of its recent history.
type ChangeReader interface {
	// ReadChanges returns each change below prefix with a revision above since, in order, and a revision upTo which they are complete. The
	// state at upTo is not older than the call. An error of KindCompacted means that the service has forgotten some of them.
	ReadChanges(ctx context.Context, prefix string, since int64) (changes []WatchEvent, upTo int64, err error)
}
