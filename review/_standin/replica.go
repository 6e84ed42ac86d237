package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
)

const (
	service       = "registry-assist"
	queueLength   = 64
	heartbeat     = 1200 * time.Millisecond
	eventTime     = 6 * time.Millisecond
	maxItemEvents = 200
)

// work is the body of an item; the answer depends on it alone.
type work struct {
	Mark   string `json:"mark"`
	Events int    `json:"events"`
	Pad    string `json:"pad,omitempty"`
}

func (w work) event(number int) string { return fmt.Sprintf("%s-%d", w.Mark, number) }

// replica is a place for a replica: its address stays, each start is a new incarnation with a new id.
type replica struct {
	number int
	zone   string
	fleet  *fleet
	slots  int
	// promptTime is the time for which a prompt is read; one at a time is read.
	promptTime time.Duration
	// spoil reports for each answer whether it is spoilt; nil for never.
	spoil func(item string) bool
	// onArrival is called for each item that arrives; nil for nothing.
	onArrival func(item string, place *replica)

	mutex    sync.Mutex
	id       string
	address  string
	server   *http.Server
	ended    chan struct{}
	stopBeat context.CancelFunc
	occupied chan struct{}
	prompt   chan struct{}
}

var incarnations atomic.Int64

// start starts a new incarnation.
func (r *replica) start() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	r.address = listener.Addr().(*net.TCPAddr).AddrPort().String()
	r.id = fmt.Sprintf("i-%02d-%d", r.number, incarnations.Add(1))
	r.ended = make(chan struct{})
	r.occupied, r.prompt = make(chan struct{}, r.slots), make(chan struct{}, 1)
	one := &incarnation{replica: r, id: r.id, ended: r.ended, occupied: r.occupied, prompt: r.prompt}
	r.server = &http.Server{Handler: one}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(r.fleet.ctx)
	r.stopBeat = cancel
	id, at := r.id, r.address
	r.fleet.tasks.Go(func() { r.keepEntry(ctx, id, at) })
	return nil
}

// crash ends the incarnation: it says nothing more, its connections close, its port refuses, and its entry goes after three heartbeats. It
// returns false if the replica is down.
func (r *replica) crash() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.ended:
		return false
	default:
	}
	r.fleet.record.note("replica %s crashes", r.id)
	close(r.ended)
	r.stopBeat()
	_ = r.server.Close()
	return true
}

// keepEntry writes the entry of an incarnation under a lease of three heartbeats, and renews it.
func (r *replica) keepEntry(ctx context.Context, id, address string) {
	store := r.fleet.store.KeyValue("platform")
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "cold_left_ms": 0, "call_seq": 0,
	})
	lease, err := store.GrantLease(ctx, 3*heartbeat)
	if err != nil {
		return
	}
	_, _ = store.Commit(ctx, port.Transaction{Changes: []port.Change{{Key: "servers/" + id, Value: entry, LeaseID: lease}}})
	for sleep(ctx, heartbeat) {
		_, _ = store.KeepAlive(ctx, lease)
	}
}

// incarnation serves the requests of one incarnation.
type incarnation struct {
	replica          *replica
	id               string
	ended            chan struct{}
	occupied, prompt chan struct{}
	running, waiting atomic.Int64
}

func (i *incarnation) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("X-Sloelift-Server-Load", fmt.Sprintf("%d,%d,%d", i.running.Load(), i.waiting.Load(), i.replica.slots))
	if request.Method == http.MethodGet {
		header.Set("X-Sloelift-Instance-Id", i.id)
		header.Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"phase": "hybrid", "utilization": false, "call_seq": 0, "queued": i.waiting.Load(), "running": i.running.Load(),
			"kv_used": 0, "kv_total": 153000, "handles": 0, "models": []any{},
		})
		return
	}
	id := request.Header.Get("X-Sloelift-Request-Id")
	header.Set("X-Sloelift-Request-Id", id)
	header.Set("X-Sloelift-Server-Signature", i.id+"."+id)
	content, err := io.ReadAll(request.Body)
	var payload work
	if err != nil || json.Unmarshal(content, &payload) != nil {
		panic(http.ErrAbortHandler)
	}
	if wanted := request.Header.Get("X-Sloelift-Target-Instance"); wanted != "" && wanted != i.id {
		header.Set("X-Sloelift-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if limit, err := strconv.Atoi(request.Header.Get("X-Sloelift-Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
		defer cancel()
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	log := i.replica.fleet.record
	log.arrived(id, i.id, first)
	defer log.left(id, i.id)
	if i.replica.onArrival != nil {
		i.replica.onArrival(id, i.replica)
	}
	if !i.admit(ctx) {
		header.Set("X-Sloelift-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-i.occupied; i.running.Add(-1) }()
	i.run(ctx, writer, payload, id, first)
}

// admit waits for a slot.
func (i *incarnation) admit(ctx context.Context) bool {
	if i.waiting.Add(1) > queueLength {
		i.waiting.Add(-1)
		return false
	}
	defer i.waiting.Add(-1)
	select {
	case i.occupied <- struct{}{}:
		i.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	case <-i.ended:
		return false
	}
}

// wait returns false if the run must end before the time is over.
func (i *incarnation) wait(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-i.ended:
		return false
	}
}

func (i *incarnation) run(ctx context.Context, writer http.ResponseWriter, payload work, id string, first int) {
	log := i.replica.fleet.record
	select {
	case i.prompt <- struct{}{}:
	case <-ctx.Done():
		i.broken(id)
	case <-i.ended:
		i.broken(id)
	}
	read := i.wait(ctx, i.replica.promptTime)
	<-i.prompt
	if !read {
		i.broken(id)
	}
	spoilAt := 0
	if i.replica.spoil != nil && i.replica.spoil(id) {
		spoilAt = first + 1 + (payload.Events-first)/2
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	for number := first + 1; number <= payload.Events; number++ {
		if !i.wait(ctx, time.Duration(float64(eventTime)*(1+float64(i.running.Load())/float64(i.replica.slots)))) {
			i.broken(id)
		}
		if number == spoilAt {
			// Wrong bytes, and the answer breaks off.
			fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, wrongBytes(number))
			_ = flusher.Flush()
			log.note("replica %s hands out wrong bytes in the answer to %s and breaks it off", i.id, id)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, payload.event(number)); err != nil || flusher.Flush() != nil {
			i.broken(id)
		}
	}
	log.finished(id, i.id)
}

// broken ends a run without the end of its answer.
func (i *incarnation) broken(id string) {
	select {
	case <-i.ended:
		i.replica.fleet.record.failed(id, i.id)
	default:
	}
	panic(http.ErrAbortHandler)
}

// wrongBytes returns bytes that are no text in UTF-8.
func wrongBytes(seed int) []byte {
	wrong := make([]byte, 24)
	for index := range wrong {
		wrong[index] = byte(0x80 + (seed*31+index*17)%0x40)
	}
	return wrong
}
