package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const queueCapacity = 64

// replica is a sound model replica: it runs slots requests at a time and makes one event each eventTime.
type replica struct {
	id, zone  string
	slots     int
	eventTime time.Duration
	address   string
	record    *record
	occupied  chan struct{}
	waiting   atomic.Int32
	// unframed makes the replica answer with neither a length nor chunks, so that an answer ends with its connection.
	unframed bool
}

func startReplica(id, zone string, slots int, eventTime time.Duration, written *record) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &replica{
		id: id, zone: zone, slots: slots, eventTime: eventTime, address: listener.Addr().String(), record: written, occupied: make(chan struct{}, slots),
	}
	server := &http.Server{Handler: started, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return started, nil
}

func (r *replica) entry() []byte {
	encoded, err := json.Marshal(wire.ReplicaEntry{Service: service, Address: r.address, Zone: r.zone, Version: "v1", Slots: r.slots, State: wire.StateReady})
	if err != nil {
		panic(err)
	}
	return encoded
}

// eventData is the data of one event of a request.
func eventData(id string, number int) string { return fmt.Sprintf("%s.%d", id, number) }

// wholeText is the text of an item as the results are to give it.
func wholeText(id string, events int) string {
	parts := make([]string, 0, events)
	for number := 1; number <= events; number++ {
		parts = append(parts, eventData(id, number))
	}
	return strings.Join(parts, "\n")
}

func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(wire.Headers.Load, fmt.Sprintf("%d,%d,%d", len(r.occupied), r.waiting.Load(), r.slots))
	if request.Method == http.MethodGet {
		writer.Header().Set("X-Sloelift-Instance-Id", r.id)
		_ = json.NewEncoder(writer).Encode(wire.ReportEntry{Running: len(r.occupied), Queued: int(r.waiting.Load())})
		return
	}
	id := request.Header.Get(wire.Headers.RequestID)
	writer.Header().Set(wire.Headers.RequestID, id)
	writer.Header().Set(wire.Headers.Signature, r.id+"."+id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if wanted := request.Header.Get(wire.Headers.ExpectInstance); wanted != "" && wanted != r.id {
		reject(writer, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(writer, http.StatusBadRequest)
		return
	}
	if !r.acquireSlot(request) {
		reject(writer, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.occupied }()
	r.run(writer, request, id)
}

func reject(writer http.ResponseWriter, status int) {
	writer.Header().Set(wire.Headers.NotRun, "1")
	writer.WriteHeader(status)
}

func (r *replica) acquireSlot(request *http.Request) bool {
	select {
	case r.occupied <- struct{}{}:
		return true
	default:
	}
	if r.waiting.Add(1) > queueCapacity {
		r.waiting.Add(-1)
		return false
	}
	defer r.waiting.Add(-1)
	select {
	case r.occupied <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (r *replica) run(writer http.ResponseWriter, request *http.Request, id string) {
	r.record.began(id, r.id, request.Header.Get(wire.Headers.LastEventID))
	defer r.record.ended(id)
	_, out, _ := strings.Cut(request.Header.Get("X-Sloelift-Token-Usage"), ",")
	events, _ := strconv.Atoi(out)
	first := 1
	if after, err := strconv.Atoi(request.Header.Get(wire.Headers.LastEventID)); err == nil {
		first = after + 1
	}
	var deadline <-chan time.Time
	if milliseconds, err := strconv.Atoi(request.Header.Get(wire.Headers.Deadline)); err == nil {
		deadline = time.After(time.Duration(milliseconds) * time.Millisecond)
	}
	if r.unframed {
		r.runUnframed(writer, request, id, first, events)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	for number := first; number <= events; number++ {
		select {
		case <-time.After(r.eventTime):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		case <-deadline:
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventData(id, number)); err != nil || flusher.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	r.record.whole(id, r.id)
}

// runUnframed is run with an answer that ends with its connection. Its caller's going is noticed by the next write.
func (r *replica) runUnframed(writer http.ResponseWriter, request *http.Request, id string, first, events int) {
	connection, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: %s.%s\r\n%s: %s\r\n\r\n",
		wire.Headers.RequestID, id, wire.Headers.Signature, r.id, id, wire.Headers.Load, writer.Header().Get(wire.Headers.Load))
	for number := first; number <= events; number++ {
		time.Sleep(r.eventTime)
		if _, err := fmt.Fprintf(buffered, "id: %d\ndata: %s\n\n", number, eventData(id, number)); err != nil || buffered.Flush() != nil {
			return
		}
	}
	if buffered.Flush() == nil {
		r.record.whole(id, r.id)
	}
}
