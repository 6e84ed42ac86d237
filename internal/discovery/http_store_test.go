package discovery

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/network/networktest"
	"github.com/sloelift/sloelift/internal/platform"
	wire "github.com/sloelift/sloelift/platform"
)

// httpStoreAddress is the address of an httpStore in its network.
var httpStoreAddress = netip.MustParseAddrPort("127.0.0.1:1")

// httpStore is a stand-in of the platform's store that serves its protocol over an in-memory network. It can fall silent: calls that are
// in progress then, or begin while it is silent, are never answered, not even after it has recovered.
type httpStore struct {
	network *networktest.Pipes
	server  *http.Server
	clients []*wire.Store

	mutex sync.Mutex
	// latency is the time that a call takes.
	latency  time.Duration
	revision int64
	items    map[string]wire.StoreItem
	history  []wire.StoreItem
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	silent    bool
	// epoch counts silences and compactions, which end held calls without an answer.
	epoch int
	// changed is closed and replaced at each change of the state above.
	changed chan struct{}
	// calls counts the calls by path; those for stale reads are counted in staleReads instead.
	calls      map[string]int
	staleReads int
}

func newHTTPStore(t *testing.T) *httpStore {
	store := &httpStore{
		network: networktest.NewPipes(), latency: callLatency, revision: 1, items: map[string]wire.StoreItem{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
	listener, err := store.network.Listen(t.Context(), httpStoreAddress)
	if err != nil {
		t.Fatal(err)
	}
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	return store
}

// client returns a node's access to the store, whose watch calls are held for hold().
func (s *httpStore) client(hold func() time.Duration) platform.KeyValue {
	client := wire.NewStore(platform.NewExchanger(s.network, httpStoreAddress), hold)
	s.clients = append(s.clients, client)
	return client
}

// close ends the connections of all clients and waits for the calls in progress.
func (s *httpStore) close() {
	_ = s.server.Close()
	for _, client := range s.clients {
		client.Close()
	}
	time.Sleep(2 * s.latency)
}

// signal wakes held calls. The mutex must be held.
func (s *httpStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key; the change is acknowledged when put returns.
func (s *httpStore) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	item := wire.StoreItem{Key: key, Value: []byte(value), Revision: s.revision, CreateRevision: cmp.Or(s.items[key].CreateRevision, s.revision)}
	s.items[key] = item
	s.history = append(s.history, item)
	s.signal()
}

// compact drops the history; held watches are never answered.
func (s *httpStore) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted, s.history = s.revision, nil
	s.epoch++
	s.signal()
}

// setSilent makes the store fall silent, or recover.
func (s *httpStore) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
	s.epoch++
	s.signal()
}

// setLatency sets the time that a call takes.
func (s *httpStore) setLatency(latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latency = latency
}

// callCount returns the number of calls so far, and of stale reads, which are not among them.
func (s *httpStore) callCount() (calls, staleReads int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, count := range s.calls {
		calls += count
	}
	return calls, s.staleReads
}

// ServeHTTP implements http.Handler.
func (s *httpStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	if request.URL.Query().Get("stale") != "" {
		s.staleReads++
	} else {
		s.calls[request.URL.Path]++
	}
	epoch, lost, latency := s.epoch, s.silent, s.latency
	s.mutex.Unlock()
	if !lost {
		time.Sleep(latency)
		switch request.URL.Path {
		case wire.PathStoreRange:
			s.list(writer, request, epoch)
			return
		case wire.PathStoreWatch:
			s.watch(writer, request, epoch)
			return
		case wire.PathStoreKey:
			s.key(writer, request, epoch)
			return
		}
	}
	<-request.Context().Done()
}

// answer writes body unless the store has fallen silent since epoch. The mutex must be held; answer releases it.
func (s *httpStore) answer(writer http.ResponseWriter, request *http.Request, epoch, status int, body any) {
	lost := s.epoch != epoch
	s.mutex.Unlock()
	if lost {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *httpStore) list(writer http.ResponseWriter, request *http.Request, epoch int) {
	prefix := request.URL.Query().Get("path_prefix")
	s.mutex.Lock()
	page := wire.StorePage{Items: []wire.StoreItem{}, At: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, s.items[key])
		}
	}
	s.answer(writer, request, epoch, http.StatusOK, page)
}

func (s *httpStore) key(writer http.ResponseWriter, request *http.Request, epoch int) {
	s.mutex.Lock()
	item, found := s.items[request.URL.Query().Get("key")]
	if !found {
		s.answer(writer, request, epoch, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(writer, request, epoch, http.StatusOK, item)
}

// watch answers as soon as there is a change after the requested revision, or when the requested wait is over.
func (s *httpStore) watch(writer http.ResponseWriter, request *http.Request, epoch int) {
	query := request.URL.Query()
	since, _ := strconv.ParseInt(query.Get("since_rev"), 10, 64)
	hold, _ := strconv.Atoi(query.Get("wait_ms"))
	over := time.After(time.Duration(hold) * time.Millisecond)
	held := true
	for {
		s.mutex.Lock()
		if since < s.compacted {
			s.answer(writer, request, epoch, http.StatusGone, struct{}{})
			return
		}
		events := wire.StoreEvents{Events: []wire.StoreItem{}, At: s.revision}
		for _, item := range s.history {
			if item.Revision > since && strings.HasPrefix(item.Key, query.Get("path_prefix")) {
				events.Events = append(events.Events, item)
			}
		}
		if len(events.Events) > 0 || !held || s.epoch != epoch {
			s.answer(writer, request, epoch, http.StatusOK, events)
			return
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-over:
			held = false
		case <-request.Context().Done():
			return
		}
	}
}
