// Package platformtest provides fakes of the platform's services, for tests and for measurements without a platform.
package platformtest

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/platform"
)

// KeyValue is an in-memory key-value service with revisions and conditional transactions. Its leases never expire, and
// it has no watches. It is safe for concurrent use.
type KeyValue struct {
	platform.KeyValue

	mutex    sync.Mutex
	revision int64
	leases   platform.LeaseID
	entries  map[string]platform.Entry
}

// errEmptyValue is returned for a change without a value, which the platform's service refuses too.
var errEmptyValue = errors.New("a change has no value")

// NewKeyValue returns a KeyValue without entries.
func NewKeyValue() *KeyValue { return &KeyValue{entries: map[string]platform.Entry{}} }

// Get implements platform.KeyValue.
func (k *KeyValue) Get(_ context.Context, key string) (platform.Entry, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.entries[key], nil
}

// List implements platform.KeyValue; the entries are unordered.
func (k *KeyValue) List(_ context.Context, prefix string) (platform.Listing, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	listing := platform.Listing{Revision: k.revision}
	for key, entry := range k.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

// Commit implements platform.KeyValue; it supports only changes that write a value.
func (k *KeyValue) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		if k.entries[condition.Key].ModRevision != condition.ModRevision {
			return platform.CommitResult{}, nil
		}
	}
	k.revision++
	for _, change := range transaction.Changes {
		if change.Delete {
			delete(k.entries, change.Key)
			continue
		}
		if len(change.Value) == 0 {
			return platform.CommitResult{}, errEmptyValue
		}
		k.entries[change.Key] = platform.Entry{Key: change.Key, Value: change.Value, ModRevision: k.revision}
	}
	return platform.CommitResult{Committed: true, Revision: k.revision}, nil
}

// GrantLease implements platform.KeyValue.
func (k *KeyValue) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.leases++
	return k.leases, nil
}

// Len returns the number of entries.
func (k *KeyValue) Len() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.entries)
}
