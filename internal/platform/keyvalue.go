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

// Condition holds when the key's ModRevision equals the given one (0: must not exist).
type Condition struct {
	Key         string
	ModRevision int64
}

// Change puts a value or, with Delete set, removes the key.
type Change struct {
	Key     string
	Value   []byte
	Delete  bool
	LeaseID LeaseID
}

// Transaction makes all Changes at one revision if all Conditions hold, else none.
type Transaction struct {
	Conditions []Condition
	Changes    []Change
}

// CommitResult reports a Transaction. Where Committed is false, Current holds the
// entries of the Conditions' keys as they stood.
type CommitResult struct {
	Committed bool
	Revision  int64
	Current   []Entry
}

// LeaseID names a lease of the key-value service; 0 is no lease.
type LeaseID int64

// WatchEvent carries changes of one revision, or the error that ended the watch.
type WatchEvent struct {
	// More says that the next event comes without a further call to the service.
	More     bool
	Revision int64
	Changed  []Entry
	// Deleted holds keys that were removed.
	Deleted []string
	// Err is set on the last event. KindCompacted means: list again, then watch.
	Err error
}

// KeyValue is the port to the key-value service. It is safe for concurrent use.
// All errors are made by this package; see errors.go.
type KeyValue interface {
	// Get reads one key; an absent key is an Entry with ModRevision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys below prefix at one revision.
	List(ctx context.Context, prefix string) (Listing, error)
	// Commit makes one transaction. An error of KindUnknownOutcome may have taken effect.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// Watch delivers changes below prefix with revision >= fromRevision, in order,
	// until ctx ends or an event with Err is delivered; then the channel is closed.
	Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan WatchEvent, error)
	GrantLease(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) (timeToLive time.Duration, err error)
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// mostEntriesKey is the key of a context's bound on listings.
type mostEntriesKey struct{}

// WithMostEntries returns a context whose listings fail with KindTooLong as soon as there are more entries than most.
func WithMostEntries(ctx context.Context, most int) context.Context {
	return context.WithValue(ctx, mostEntriesKey{}, most)
}

// TooMany returns the error of a listing that has read so many entries and is not at its end, where ctx bounds them to fewer; else nil.
func TooMany(ctx context.Context, entries int) error {
	most, bounded := ctx.Value(mostEntriesKey{}).(int)
	if !bounded || entries <= most {
		return nil
	}
	return KindTooLong.New("more than %d entries", most)
}

// StaleLister is a KeyValue that has cheaper listings, which may be seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) (Listing, error)
}
