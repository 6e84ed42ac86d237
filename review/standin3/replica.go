//go:build review3

package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha512"
	"encoding/hex"
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
	wire "github.com/sloelift/sloelift/platform"
)

const (
	replicaSlots      = 17
	heartbeatInterval = 1200 * time.Millisecond
	eventTime         = 4 * time.Millisecond
	promptTime        = 15 * time.Millisecond
)

// work is the body of a request: how many events its whole output has.
type work struct {
	Events int    `json:"events"`
	Mark   string `json:"mark"`
	// EventMs is the time that an event takes; 0 means eventTime.
	EventMs int `json:"event_ms,omitempty"`
	// FirstMs is the time until the answer begins, in which the prompt is read; 0 means promptTime.
	FirstMs int `json:"first_ms,omitempty"`
	// Hex is the length of an event that looks random; 0 means a short one.
	Hex int `json:"hex,omitempty"`
}

func (w work) event(number int) string {
	if w.Hex > 0 {
		sum := sha512.Sum512([]byte(fmt.Sprintf("%s-%d", w.Mark, number)))
		return hex.EncodeToString(sum[:])[:w.Hex]
	}
	return fmt.Sprintf("%s-%d", w.Mark, number)
}

func (w work) text() string {
	var out bytes.Buffer
	for number := 1; number <= w.Events; number++ {
		if number > 1 {
			out.WriteByte('\n')
		}
		out.WriteString(w.event(number))
	}
	return out.String()
}

// arrived is one request at a replica, with what a case may do to its answer.
type arrived struct {
	replica *replica
	id      string
	// send is the number of times that this id has arrived at any replica, from 1.
	send      int
	lastEvent string
	work      work
	header    http.Header
}

// misbehave may answer in the place of the replica, on the raw connection. It returns true if it did; keep says whether the connection stays.
type misbehave func(got arrived, connection *replicaConnection) (answered, keep bool)

// replica is a stand-in of a model server, one HTTP/1.1 request at a time on each connection.
type replica struct {
	id, service, zone string
	listener          net.Listener
	record            *record
	fault             misbehave
	sends             *sends
	running           atomic.Int32
	answers           atomic.Int32
}

// sends counts the arrivals of each id.
type sends struct {
	mutex sync.Mutex
	count map[string]int
}

func (s *sends) next(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count[id]++
	return s.count[id]
}

func (s *sends) of(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count[id]
}

// addReplica starts a replica and keeps its entry in the store.
func (d *deployment) addReplica(ctx context.Context, id, service, zone string, counted *sends, fault misbehave) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	added := &replica{id: id, service: service, zone: zone, listener: listener, record: d.record, sends: counted, fault: fault}
	d.replicas = append(d.replicas, added)
	go added.serve()
	d.tasks.Go(func() { d.keepEntry(ctx, added) })
	return nil
}

func (d *deployment) keepEntry(ctx context.Context, kept *replica) {
	var lease port.LeaseID
	for ctx.Err() == nil {
		if lease == 0 {
			granted, err := d.store.GrantLease(ctx, 3*heartbeatInterval)
			entry, _ := json.Marshal(wire.ReplicaEntry{
				Service: kept.service, Version: "v1", Address: kept.listener.Addr().String(), Zone: kept.zone, Slots: replicaSlots, State: wire.StateReady,
			})
			if err == nil && d.put(ctx, wire.Translator{}.ReplicaPrefix()+kept.id, entry, granted) == nil {
				lease = granted
			}
		} else if _, err := d.store.KeepAlive(ctx, lease); err != nil {
			lease = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (r *replica) serve() {
	for {
		raw, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConnection(raw)
	}
}

// replicaConnection reads ahead, so that the end of the connection is noticed while a request runs.
type replicaConnection struct {
	net.Conn
	number   int64
	requests chan *http.Request
}

var connections atomic.Int64

func (r *replica) serveConnection(raw net.Conn) {
	defer raw.Close()
	connection := &replicaConnection{Conn: raw, number: connections.Add(1), requests: make(chan *http.Request, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		defer close(connection.requests)
		reader := bufio.NewReader(raw)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			request.Body = io.NopCloser(bytes.NewReader(body))
			connection.requests <- request
		}
	}()
	for request := range connection.requests {
		if !r.serveRequest(ctx, connection, request) {
			return
		}
	}
}

func (r *replica) head(status int, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Sloelift-Request-Id: %s\r\nX-Sloelift-Server-Signature: %s\r\nX-Sloelift-Server-Load: %d,0,%d\r\n%s",
		status, http.StatusText(status), id, r.signature(id), r.running.Load(), replicaSlots, more)
}

func (r *replica) signature(id string) string { return r.id + "." + id }

// whole returns a complete answer with an empty body.
func (r *replica) whole(status int, id, more string) []byte {
	return []byte(r.head(status, id, more) + "Content-Length: 0\r\n\r\n")
}

// serveRequest serves one request; it returns false if the connection is to be closed.
func (r *replica) serveRequest(ctx context.Context, connection *replicaConnection, request *http.Request) bool {
	if request.Method == http.MethodGet {
		r.record.note("replica %s: report on connection %d", r.id, connection.number)
		report, _ := json.Marshal(wire.ReportEntry{Running: int(r.running.Load())})
		_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Sloelift-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			r.id, len(report), report)
		return err == nil
	}
	id := request.Header.Get("X-Sloelift-Request-Id")
	body, _ := io.ReadAll(request.Body)
	got := arrived{replica: r, id: id, lastEvent: request.Header.Get("Last-Event-Id"), header: request.Header}
	if err := json.Unmarshal(body, &got.work); err != nil {
		_, err := connection.Write(r.whole(http.StatusBadRequest, id, ""))
		return err == nil
	}
	if wanted := request.Header.Get("X-Sloelift-Target-Instance"); wanted != "" && wanted != r.id {
		_, err := connection.Write(r.whole(http.StatusMisdirectedRequest, id, "X-Sloelift-Not-Executed: 1\r\n"))
		return err == nil
	}
	got.send = r.sends.next(id)
	r.record.note("replica %s: request %s (%s) begins, send %d, connection %d, after event %q", r.id, id, got.work.Mark, got.send, connection.number, got.lastEvent)
	r.running.Add(1)
	defer r.running.Add(-1)
	r.answers.Add(1)
	if r.fault != nil {
		if answered, keep := r.fault(got, connection); answered {
			return keep
		}
	}
	return r.stream(ctx, connection, got)
}

// stream answers with the events after the last one that the request names.
func (r *replica) stream(ctx context.Context, connection *replicaConnection, got arrived) bool {
	after, _ := strconv.Atoi(got.lastEvent)
	until, cancel := ctx, context.CancelFunc(func() {})
	if milliseconds, err := strconv.Atoi(got.header.Get("X-Sloelift-Deadline-Ms")); err == nil {
		until, cancel = context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
	}
	defer cancel()
	prompt := promptTime
	if got.work.FirstMs > 0 {
		prompt = time.Duration(got.work.FirstMs) * time.Millisecond
	}
	if !sleep(until, prompt) {
		return false
	}
	if _, err := io.WriteString(connection, r.head(http.StatusOK, got.id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	pause := eventTime
	if got.work.EventMs > 0 {
		pause = time.Duration(got.work.EventMs) * time.Millisecond
	}
	for number := after + 1; number <= got.work.Events; number++ {
		if !sleep(until, pause) {
			r.record.note("replica %s: request %s is dropped before event %d", r.id, got.id, number)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, got.work.event(number))
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	r.record.note("replica %s: request %s (%s) has run to its end (status 200)", r.id, got.id, got.work.Mark)
	return err == nil
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
