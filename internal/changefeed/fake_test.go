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

// countingStore is a key-value service whose watches are held calls, as the platform's are.
type countingStore struct {
	platform.KeyValue
	mutex   sync.Mutex
	changes []platform.WatchEvent
	down    bool
	open    int
	// mute leaves held calls without an answer.
	mute bool
	// lists counts the listings; changes up to compacted are forgotten.
	lists     int
	compacted int64
	// changed is closed, and made anew, at each change.
	changed chan struct{}
}

// firstRevision is that of the service before any change.
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

// hold answers one held call.
func (s *countingStore) hold(ctx context.Context, since int64) ([]platform.WatchEvent, int64) {
	s.mutex.Lock()
	changed, quiet, mute := s.changed, s.revision() == since, s.mute
	s.mutex.Unlock()
	if mute {
		<-ctx.Done()
		return nil, since
	}
	if quiet {
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

// put changes key and tells the held calls.
func (s *countingStore) put(key string) { s.putValue(key, nil) }

// putValue writes value to key, tells the held calls, and returns the revision.
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

// putAndForget writes value to one key, removes another and forgets all history, before any watch is answered. It returns the revision.
func (s *countingStore) putAndForget(key string, value []byte, removed string) int64 {
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

func (s *countingStore) listed() int {
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

func (s *countingStore) setMute(mute bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mute = mute
}

func (s *countingStore) watching() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.open
}

// fabric carries messages between the feeds of one process.
type fabric struct {
	mutex    sync.Mutex
	handlers map[netip.AddrPort]map[transport.Method]transport.Handler
	// lose says which messages are lost; cut whose messages are.
	lose func(to netip.AddrPort, method transport.Method) bool
}

// port is one node's access to the fabric.
type port struct {
	fabric *fabric
	self   netip.AddrPort
}

func (p port) Handle(method transport.Method, _ func() proto.Message, handler transport.Handler) {
	p.fabric.mutex.Lock()
	defer p.fabric.mutex.Unlock()
	if p.fabric.handlers[p.self] == nil {
		p.fabric.handlers[p.self] = map[transport.Method]transport.Handler{}
	}
	p.fabric.handlers[p.self][method] = handler
}

func (p port) Call(context.Context, netip.AddrPort, transport.Method, proto.Message, proto.Message) error {
	panic("the feed makes no calls")
}

func (p port) Send(to netip.AddrPort, method transport.Method, message proto.Message) error {
	p.fabric.mutex.Lock()
	handler := p.fabric.handlers[to][method]
	lost := p.fabric.lose != nil && p.fabric.lose(to, method)
	p.fabric.mutex.Unlock()
	if handler != nil && !lost {
		_, _ = handler(context.Background(), p.self, proto.Clone(message))
	}
	return nil
}
