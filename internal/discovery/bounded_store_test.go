package discovery

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/platform"
)

const (
	// entriesPerPage is the page size of a boundedStore, entryBytes the size of an entry on its link, callLatency the latency of a call.
	entriesPerPage = 200
	entryBytes     = 340
	callLatency    = 4 * time.Millisecond
)

// boundedStore is a fake key-value service that sends its responses one after the other over a link of limited bandwidth, and limits the
// rate of calls.
type boundedStore struct {
	platform.KeyValue
	bytesPerSecond float64
	readsPerSecond int

	mutex    sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	history  []platform.WatchEvent
	changed  chan struct{}
	// linkFree is when the link has sent all responses; callsBySecond counts the calls by Unix second, calls all of them.
	linkFree      time.Time
	callsBySecond map[int64]int
	calls         int
	rateLimited   int
	// down makes all calls fail.
	down bool
	// compacted is the revision up to which the history has been dropped.
	compacted int64
}

func newBoundedStore(bytesPerSecond float64, readsPerSecond int) *boundedStore {
	return &boundedStore{
		bytesPerSecond: bytesPerSecond,
		readsPerSecond: readsPerSecond,
		entries:        map[string]platform.Entry{},
		changed:        make(chan struct{}),
		callsBySecond:  map[int64]int{},
		revision:       1,
	}
}

// admit counts a call, and refuses it if the store is down or the rate limit is exceeded.
func (s *boundedStore) admit() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return platform.KindUnavailable.New("down")
	}
	now := time.Now().Unix()
	s.callsBySecond[now]++
	if s.callsBySecond[now] > s.readsPerSecond {
		s.rateLimited++
		return platform.KindRateLimited.New("status 429")
	}
	return nil
}

// send waits until a response with the given number of entries has been transferred.
func (s *boundedStore) send(ctx context.Context, entries int) error {
	s.mutex.Lock()
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(time.Duration(float64(entries*entryBytes) / s.bytesPerSecond * float64(time.Second)))
	wait := s.linkFree.Sub(now) + callLatency
	s.mutex.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *boundedStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	var listing platform.Listing
	after := ""
	for {
		if err := s.admit(); err != nil {
			return platform.Listing{}, err
		}
		page, revision, more := s.page(prefix, after)
		if err := s.send(ctx, len(page)); err != nil {
			return platform.Listing{}, err
		}
		listing.Revision = cmp.Or(listing.Revision, revision)
		listing.Entries = append(listing.Entries, page...)
		if !more {
			return listing, nil
		}
		if err := platform.CheckMaxEntries(ctx, len(listing.Entries)); err != nil {
			return platform.Listing{}, err
		}
		after = page[len(page)-1].Key
	}
}

func (s *boundedStore) page(prefix, after string) (page []platform.Entry, revision int64, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page) == entriesPerPage {
			return page, s.revision, true
		}
		page = append(page, s.entries[key])
	}
	return page, s.revision, false
}

func (s *boundedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan platform.WatchEvent, error) {
	events := make(chan platform.WatchEvent)
	go func() {
		defer close(events)
		since := from - 1
		for ctx.Err() == nil {
			answer, upTo, err := s.hold(ctx, prefix, since)
			if err != nil {
				answer = []platform.WatchEvent{{Err: err}}
			}
			for _, event := range answer {
				select {
				case events <- event:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
			since = upTo
		}
	}()
	return events, nil
}

// hold answers one held call with the changes after since, and returns the revision up to which they are complete.
func (s *boundedStore) hold(ctx context.Context, prefix string, since int64) ([]platform.WatchEvent, int64, error) {
	if err := s.admit(); err != nil {
		return nil, 0, err
	}
	if s.isCompacted(since) {
		return nil, 0, platform.KindCompacted.New("status 410")
	}
	holdExpired := time.After(time.Second)
	answer, upTo, changed := s.since(prefix, since)
	for waiting := true; waiting && len(answer) == 0; answer, upTo, changed = s.since(prefix, since) {
		select {
		case <-changed:
		case <-holdExpired:
			waiting = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	err := s.send(ctx, len(answer))
	return append(answer, platform.WatchEvent{Revision: upTo}), upTo, err
}

// since returns the changes below prefix after a revision, the current revision, and a channel that is closed at the next change.
func (s *boundedStore) since(prefix string, revision int64) (answer []platform.WatchEvent, current int64, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, event := range s.history {
		if event.Revision > revision && eventIsBelow(event, prefix) {
			event.More = true
			answer = append(answer, event)
		}
	}
	return answer, s.revision, s.changed
}

func eventIsBelow(event platform.WatchEvent, prefix string) bool {
	for _, entry := range event.Changed {
		return strings.HasPrefix(entry.Key, prefix)
	}
	return slices.ContainsFunc(event.Deleted, func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// put writes a key, or deletes it if value is empty.
func (s *boundedStore) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	event := platform.WatchEvent{Revision: s.revision}
	if value == "" {
		delete(s.entries, key)
		event.Deleted = []string{key}
	} else {
		s.entries[key] = platform.Entry{Key: key, Value: []byte(value), ModRevision: s.revision}
		event.Changed = []platform.Entry{s.entries[key]}
	}
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *boundedStore) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.revision
}

func (s *boundedStore) isCompacted(since int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return since < s.compacted
}

func (s *boundedStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *boundedStore) callsMade() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}
