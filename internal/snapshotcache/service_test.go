package snapshotcache

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/platform"
)

// service is a fake key-value service that can be silent or slow.
type service struct {
	platform.KeyValue
	mutex    sync.Mutex
	entries  map[string]platform.Entry
	revision int64
	silent   bool
	delay    time.Duration
	lists    int
	watches  []*serviceWatch
}

type serviceWatch struct {
	ctx    context.Context
	events chan platform.WatchEvent
}

func newService(revision int64) *service {
	return &service{entries: map[string]platform.Entry{}, revision: revision}
}

func (s *service) List(ctx context.Context, below string) (platform.Listing, error) {
	s.mutex.Lock()
	s.lists++
	silent, delay := s.silent, s.delay
	s.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return platform.Listing{}, platform.KindUnavailable.New("silent")
	}
	time.Sleep(delay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	listing := platform.Listing{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, below) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

func (s *service) Watch(ctx context.Context, _ string, _ int64) (<-chan platform.WatchEvent, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	watch := &serviceWatch{ctx: ctx, events: make(chan platform.WatchEvent, 16)}
	s.watches = append(s.watches, watch)
	context.AfterFunc(ctx, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.watches = slices.DeleteFunc(s.watches, func(other *serviceWatch) bool { return other == watch })
		close(watch.events)
	})
	return watch.events, nil
}

func (s *service) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	entry := platform.Entry{Key: key, Value: []byte(value), CreateRevision: s.revision, ModRevision: s.revision}
	s.entries[key] = entry
	for _, watch := range s.watches {
		watch.events <- platform.WatchEvent{Revision: s.revision, Changed: []platform.Entry{entry}, More: true}
	}
}

func (s *service) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

func (s *service) listed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists
}

// serviceAt returns a responding service at revision, with one key whose value names the revision.
func serviceAt(revision int64) *service {
	created := newService(revision - 1)
	created.put(prefix+"a", fmt.Sprint("revision ", revision))
	return created
}

// silentService returns a service that never answers.
func silentService() *service {
	silent := newService(0)
	silent.silent = true
	return silent
}
