package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
)

// change is one changed or deleted key in the store's history.
type change struct {
	entry   port.Entry
	deleted bool
}

type lease struct {
	timeToLive time.Duration
	deadline   time.Time
	timer      *time.Timer
}

// store is the state of the key-value service: the current keys, the history that
// watches read, and the leases. It is safe for concurrent use.
type store struct {
	mutex sync.Mutex
	// All fields below are guarded by mutex.
	revision  int64
	compacted int64
	entries   map[string]port.Entry
	history   []change
	leases    map[port.LeaseID]*lease
	lastLease port.LeaseID
	// changed is closed and replaced at each new revision.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		revision: 1,
		entries:  make(map[string]port.Entry),
		leases:   make(map[port.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// list returns the keys below prefix, sorted; with exact set, only the key prefix itself.
func (s *store) list(prefix string, exact bool) port.Listing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listing := port.Listing{Revision: s.revision}
	if exact {
		if entry, present := s.entries[prefix]; present {
			listing.Entries = append(listing.Entries, entry)
		}
		return listing
	}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing
}

// commit applies transaction at one revision if its conditions hold, or else returns the current entries of the conditions.
func (s *store) commit(transaction port.Transaction) (port.CommitResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current, holds := s.check(transaction.Conditions); !holds {
		return port.CommitResult{Revision: s.revision, Current: current}, nil
	}
	for _, wanted := range transaction.Changes {
		if _, known := s.leases[wanted.LeaseID]; wanted.LeaseID != 0 && !known {
			return port.CommitResult{}, port.KindLeaseNotFound.New("requested lease not found")
		}
	}
	s.apply(transaction.Changes)
	return port.CommitResult{Committed: true, Revision: s.revision}, nil
}

// check returns the current entries of the conditions and whether all conditions hold. The caller holds mutex.
func (s *store) check(conditions []port.Condition) ([]port.Entry, bool) {
	holds := true
	current := make([]port.Entry, 0, len(conditions))
	for _, condition := range conditions {
		entry, present := s.entries[condition.Key]
		if !present {
			entry = port.Entry{Key: condition.Key}
		}
		holds = holds && entry.ModRevision == condition.ModRevision
		current = append(current, entry)
	}
	return current, holds
}

// apply applies changes at the next revision; without an effective change the revision stays. The caller holds mutex.
func (s *store) apply(changes []port.Change) {
	next := s.revision + 1
	before := len(s.history)
	for _, wanted := range changes {
		present, exists := s.entries[wanted.Key]
		if wanted.Delete {
			if exists {
				delete(s.entries, wanted.Key)
				tombstone := port.Entry{Key: wanted.Key, ModRevision: next}
				s.history = append(s.history, change{entry: tombstone, deleted: true})
			}
			continue
		}
		entry := port.Entry{
			Key: wanted.Key, Value: append([]byte(nil), wanted.Value...),
			CreateRevision: next, ModRevision: next, LeaseID: wanted.LeaseID,
		}
		if exists {
			entry.CreateRevision = present.CreateRevision
		}
		s.entries[wanted.Key] = entry
		s.history = append(s.history, change{entry: entry})
	}
	if len(s.history) == before {
		return
	}
	s.revision = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesFrom returns the changes below prefix with revision >= from, the store's revision, and
// a channel that is closed at the next revision.
func (s *store) changesFrom(prefix string, from int64) ([]change, int64, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if from <= s.compacted {
		return nil, s.compacted, nil, port.KindCompacted.New("revision is compacted up to %d", s.compacted)
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].entry.ModRevision >= from })
	var found []change
	for _, candidate := range s.history[start:] {
		if strings.HasPrefix(candidate.entry.Key, prefix) {
			found = append(found, candidate)
		}
	}
	return found, s.revision, s.changed, nil
}

// compact discards the history up to and including revision.
func (s *store) compact(revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision = min(revision, s.revision)
	if revision <= s.compacted {
		return
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].entry.ModRevision > revision })
	s.history = append([]change(nil), s.history[start:]...)
	s.compacted = revision
}
