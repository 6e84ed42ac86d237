package changefeed

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
)

// countingStore is a fake key-value service that, like the platform's, serves watches by held calls, and counts listings and open watches.
type countingStore struct {
	platform.KeyValue
	mutex   sync.Mutex
	changes []platform.WatchEvent
	down    bool
	open    int
	// unresponsive leaves held calls without a response.
	unresponsive bool
	// lists counts the listings; the history up to the revision compacted is dropped.
	lists     int
	compacted int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// firstRevision is the store's revision before any change.
const firstRevision = 1

func newCountingStore() *countingStore { return &countingStore{changed: make(chan struct{})} }

func (s *countingStore) revision() int64 { return firstRevision + int64(len(s.changes)) }

func (s *countingStore) List(context.Context, string) (platform.Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	byKey := map[string]platform.Entry{}
	for _, change := range s.changes {
		for _, entry := range change.Changed {
			byKey[entry.Key] = entry
		}
		for _, key := range change.Deleted {
			delete(byKey, key)
		}
	}
	return platform.Listing{Revision: s.revision(), Entries: slices.Collect(maps.Values(byKey))}, nil
}

func (s *countingStore) Watch(ctx context.Context, _ string, from int64) (<-chan platform.WatchEvent, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return nil, platform.KindUnavailable.New("down")
	}
	s.open++
	events := make(chan platform.WatchEvent)
	go func() {
		defer close(events)
		defer s.closed()
		for since := from - 1; ctx.Err() == nil; {
			var answer []platform.WatchEvent
			answer, since = s.hold(ctx, since)
			for _, event := range answer {
				select {
				case events <- event:
				case <-ctx.Done():
				}
			}
		}
	}()
	return events, nil
}

func (s *countingStore) closed() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open--
}

// hold answers one held call with the changes after since, and returns the revision up to which they are complete.
func (s *countingStore) hold(ctx context.Context, since int64) ([]platform.WatchEvent, int64) {
	s.mutex.Lock()
	changed, unchanged, unresponsive := s.changed, s.revision() == since, s.unresponsive
	s.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, since
	}
	if unchanged {
		select {
		case <-changed:
		case <-time.After(watcherHold):
		case <-ctx.Done():
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return []platform.WatchEvent{{Err: platform.KindUnavailable.New("down")}}, since
	}
	if since < s.compacted {
		return []platform.WatchEvent{{Err: platform.KindCompacted.New("history is gone")}}, since
	}
	answer := append([]platform.WatchEvent(nil), s.changes[since-firstRevision:]...)
	for index := range answer {
		answer[index].More = index+1 < len(answer)
	}
	return append(answer, platform.WatchEvent{Revision: s.revision()}), s.revision()
}

// put changes key and wakes the held calls.
func (s *countingStore) put(key string) { s.putValue(key, nil) }

// putValue writes value to key, wakes the held calls, and returns the revision.
func (s *countingStore) putValue(key string, value []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.revision() + 1
	entry := platform.Entry{Key: key, Value: value, ModRevision: revision}
	s.changes = append(s.changes, platform.WatchEvent{Revision: revision, Changed: []platform.Entry{entry}})
	close(s.changed)
	s.changed = make(chan struct{})
	return revision
}

// putAndCompact writes value to key, deletes the key removed and drops all history before any watch is answered. It returns the revision
// of the write.
func (s *countingStore) putAndCompact(key string, value []byte, removed string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := s.revision() + 1
	entry := platform.Entry{Key: key, Value: value, ModRevision: revision}
	s.changes = append(s.changes,
		platform.WatchEvent{Revision: revision, Changed: []platform.Entry{entry}},
		platform.WatchEvent{Revision: revision + 1, Deleted: []string{removed}})
	s.compacted = s.revision()
	close(s.changed)
	s.changed = make(chan struct{})
	return revision
}

func (s *countingStore) listCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists
}

func (s *countingStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *countingStore) setUnresponsive(unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unresponsive = unresponsive
}

func (s *countingStore) watching() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.open
}

// fakeNetwork carries messages between the feeds of one process.
type fakeNetwork struct {
	mutex    sync.Mutex
	handlers map[netip.AddrPort]map[transport.Method]transport.Handler
	// drop, if set, reports whether a message is lost.
	drop func(to netip.AddrPort, method transport.Method) bool
}

// fakeTransport is one node's access to the network.
type fakeTransport struct {
	network *fakeNetwork
	self    netip.AddrPort
}

func (p fakeTransport) Handle(method transport.Method, _ func() proto.Message, handler transport.Handler) {
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	if p.network.handlers[p.self] == nil {
		p.network.handlers[p.self] = map[transport.Method]transport.Handler{}
	}
	p.network.handlers[p.self][method] = handler
}

func (p fakeTransport) Call(context.Context, netip.AddrPort, transport.Method, proto.Message, proto.Message) error {
	panic("fakeTransport: Call is not supported")
}

func (p fakeTransport) Send(to netip.AddrPort, method transport.Method, message proto.Message) error {
	p.network.mutex.Lock()
	handler := p.network.handlers[to][method]
	lost := p.network.drop != nil && p.network.drop(to, method)
	p.network.mutex.Unlock()
	if handler != nil && !lost {
		_, _ = handler(context.Background(), p.self, proto.Clone(message))
	}
	return nil
}
