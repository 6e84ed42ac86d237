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
	// boundedPage is the number of entries of a page of a boundedStore, entryBytes what one takes on its link, boundedLatency the time of a call.
	boundedPage    = 200
	entryBytes     = 340
	boundedLatency = 4 * time.Millisecond
)

// boundedStore is a key-value service whose answers pass one link of bounded rate, one after the other, and which takes so many reading
// calls a second.
type boundedStore struct {
	platform.KeyValue
	bytesPerSecond float64
	readsPerSecond int

	mutex    sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	history  []platform.WatchEvent
	changed  chan struct{}
	// linkFree is when the link has sent all answers; second counts the calls of the present second, calls all.
	linkFree time.Time
	second   map[int64]int
	calls    int
	refused  int
	// down refuses all calls.
	down bool
	// forgotten is the revision up to which the history is dropped.
	forgotten int64
}

func newBoundedStore(bytesPerSecond float64, readsPerSecond int) *boundedStore {
	return &boundedStore{
		bytesPerSecond: bytesPerSecond, readsPerSecond: readsPerSecond, entries: map[string]platform.Entry{}, changed: make(chan struct{}),
		second: map[int64]int{}, revision: 1,
	}
}

// take admits a call.
func (s *boundedStore) take() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return platform.KindUnavailable.New("down")
	}
	now := time.Now().Unix()
	s.second[now]++
	if s.second[now] > s.readsPerSecond {
		s.refused++
		return platform.KindRateLimited.New("status 429")
	}
	return nil
}

// send waits until an answer with so many entries has come.
func (s *boundedStore) send(ctx context.Context, entries int) error {
	s.mutex.Lock()
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(time.Duration(float64(entries*entryBytes) / s.bytesPerSecond * float64(time.Second)))
	wait := s.linkFree.Sub(now) + boundedLatency
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
		if err := s.take(); err != nil {
			return platform.Listing{}, err
		}
		page, at, more := s.page(prefix, after)
		if err := s.send(ctx, len(page)); err != nil {
			return platform.Listing{}, err
		}
		listing.Revision = cmp.Or(listing.Revision, at)
		listing.Entries = append(listing.Entries, page...)
		if !more {
			return listing, nil
		}
		if err := platform.TooMany(ctx, len(listing.Entries)); err != nil {
			return platform.Listing{}, err
		}
		after = page[len(page)-1].Key
	}
}

func (s *boundedStore) page(prefix, after string) (page []platform.Entry, at int64, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page) == boundedPage {
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
			answer, at, err := s.hold(ctx, prefix, since)
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
			since = at
		}
	}()
	return events, nil
}

// hold answers one held call.
func (s *boundedStore) hold(ctx context.Context, prefix string, since int64) ([]platform.WatchEvent, int64, error) {
	if err := s.take(); err != nil {
		return nil, 0, err
	}
	if s.hasForgotten(since) {
		return nil, 0, platform.KindCompacted.New("status 410")
	}
	over := time.After(time.Second)
	answer, at, changed := s.since(prefix, since)
	for held := true; held && len(answer) == 0; answer, at, changed = s.since(prefix, since) {
		select {
		case <-changed:
		case <-over:
			held = false
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	err := s.send(ctx, len(answer))
	return append(answer, platform.WatchEvent{Revision: at}), at, err
}

// since returns the changes below prefix behind a revision, the present revision, and a channel that is closed at the next change.
func (s *boundedStore) since(prefix string, revision int64) (answer []platform.WatchEvent, at int64, changed <-chan struct{}) {
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

// put writes a key, or removes it where value is empty.
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

// forget drops the history.
func (s *boundedStore) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forgotten = s.revision
}

func (s *boundedStore) hasForgotten(since int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return since < s.forgotten
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
