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

	"github.com/sloelift/sloelift/internal/changefeed"
	"github.com/sloelift/sloelift/internal/network/networktest"
	"github.com/sloelift/sloelift/internal/platform"
	wire "github.com/sloelift/sloelift/platform"
)

// httpStore is a stand-in of the platform's store that serves its protocol over an in-memory network, to each node at an address of its
// own. It can fall silent: calls that are in progress then, or begin while it is silent, are never answered, not even after it has
// recovered, unless answersLate is set.
type httpStore struct {
	network *networktest.Pipes
	servers []*http.Server
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
	// answersLate makes calls that begin while the store is silent be answered this long after its recovery; 0 for never.
	answersLate time.Duration
	// turnedAway holds the nodes that get no answer, although others do, by the index of their connection.
	turnedAway map[int]bool
	// epoch counts silences and compactions, which end held calls without an answer.
	epoch int
	// changed is closed and replaced at each change of the state above.
	changed chan struct{}
	// calls counts the calls by path; those for stale reads are counted in staleReads instead.
	calls      map[string]int
	staleReads int
}

func newHTTPStore() *httpStore {
	return &httpStore{
		network: networktest.NewPipes(), latency: callLatency, revision: 1, items: map[string]wire.StoreItem{},
		turnedAway: map[int]bool{}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// connect returns a node's access to the store. Its role in the change feed is that of feed().
func (s *httpStore) connect(t *testing.T, feed func() *changefeed.Feed) (platform.KeyValue, *platform.Exchanger) {
	index := len(s.clients)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(index+1))
	listener, err := s.network.Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { s.serve(index, writer, request) })}
	go func() { _ = server.Serve(listener) }()
	exchanger := platform.NewExchanger(s.network, address)
	exchanger.SetProbeInterval(func() time.Duration { return feed().ProbeInterval() })
	client := wire.NewStore(exchanger, func() time.Duration { return feed().Hold() })
	s.servers, s.clients = append(s.servers, server), append(s.clients, client)
	return client, exchanger
}

// close ends the connections of all clients and waits for the calls in progress.
func (s *httpStore) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, client := range s.clients {
		client.Close()
	}
	time.Sleep(2*s.latency + s.answersLate)
}

// turnAway makes the store answer all nodes but those with the given indices.
func (s *httpStore) turnAway(indices ...int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.turnedAway)
	for _, index := range indices {
		s.turnedAway[index] = true
	}
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

// remove deletes a key.
func (s *httpStore) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, wire.StoreItem{Key: key, Revision: s.revision, Deleted: true})
	s.signal()
}

// forget drops the history up to the present revision; calls in progress go on.
func (s *httpStore) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted, s.history = s.revision, nil
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

// setAnswersLate sets how long after a recovery the calls of a silence are answered; 0 for never.
func (s *httpStore) setAnswersLate(late time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answersLate = late
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

// serve handles a call of the node with the given index.
func (s *httpStore) serve(index int, writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	if request.URL.Query().Get("stale") != "" {
		s.staleReads++
	} else {
		s.calls[request.URL.Path]++
	}
	lost, late, latency, epoch := s.silent || s.turnedAway[index], s.answersLate, s.latency, s.epoch
	s.mutex.Unlock()
	if lost && late > 0 {
		epoch, lost = s.waitForRecovery(request, late)
	}
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

// waitForRecovery waits until the store is not silent, and for late after it, and returns the epoch then. lost reports whether the caller
// gave up before.
func (s *httpStore) waitForRecovery(request *http.Request, late time.Duration) (epoch int, lost bool) {
	for {
		s.mutex.Lock()
		silent, changed := s.silent, s.changed
		s.mutex.Unlock()
		if !silent {
			break
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return 0, true
		}
	}
	time.Sleep(late)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.epoch, request.Context().Err() != nil
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
