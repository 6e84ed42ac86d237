package config

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/sloelift/sloelift/internal/platform"
)

// fakeKeyValue keeps entries in memory. fault returns the fault of each commit; the
// other calls never fail.
type fakeKeyValue struct {
	platform.KeyValue
	mutex    sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	fault    func() commitFault
	// effect is called, under the lock, with each transaction that takes effect.
	effect func(platform.Transaction)
}

type commitFault int

const (
	noFault commitFault = iota
	refused
	lostBeforeEffect
	lostAfterEffect
)

func newFakeKeyValue() *fakeKeyValue {
	return &fakeKeyValue{
		entries: map[string]platform.Entry{},
		fault:   func() commitFault { return noFault },
		effect:  func(platform.Transaction) {},
	}
}

func (f *fakeKeyValue) Get(_ context.Context, key string) (platform.Entry, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.entries[key]
	entry.Key = key
	return entry, nil
}

func (f *fakeKeyValue) List(_ context.Context, prefix string) (platform.Listing, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listing := platform.Listing{Revision: f.revision}
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing, nil
}

func (f *fakeKeyValue) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fault := f.fault()
	switch fault {
	case refused:
		return platform.CommitResult{}, platform.KindUnavailable.New("refused")
	case lostBeforeEffect:
		return platform.CommitResult{}, platform.KindUnknownOutcome.Wrap(context.DeadlineExceeded, "lost before")
	}
	result := f.commitLocked(transaction)
	if fault == lostAfterEffect {
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost after")
	}
	return result, nil
}

func (f *fakeKeyValue) commitLocked(transaction platform.Transaction) platform.CommitResult {
	for _, condition := range transaction.Conditions {
		if f.entries[condition.Key].ModRevision != condition.ModRevision {
			return platform.CommitResult{Revision: f.revision}
		}
	}
	f.revision++
	f.effect(transaction)
	for _, change := range transaction.Changes {
		if change.Delete {
			delete(f.entries, change.Key)
			continue
		}
		f.entries[change.Key] = platform.Entry{Key: change.Key, Value: change.Value, ModRevision: f.revision}
	}
	return platform.CommitResult{Committed: true, Revision: f.revision}
}
