package ledgerbench

import (
	"context"
	"strings"
	"sync"

	"github.com/sloelift/sloelift/internal/platform"
)

// keyValue is a key-value service in memory, with the calls that the ledger makes.
type keyValue struct {
	platform.KeyValue

	mutex    sync.Mutex
	revision int64
	entries  map[string]platform.Entry
}

func (k *keyValue) Get(_ context.Context, key string) (platform.Entry, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.entries[key], nil
}

func (k *keyValue) List(_ context.Context, prefix string) (platform.Listing, error) {
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

func (k *keyValue) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		if k.entries[condition.Key].ModRevision != condition.ModRevision {
			return platform.CommitResult{}, nil
		}
	}
	k.revision++
	for _, change := range transaction.Changes {
		k.entries[change.Key] = platform.Entry{Key: change.Key, Value: change.Value, ModRevision: k.revision}
	}
	return platform.CommitResult{Committed: true, Revision: k.revision}, nil
}
