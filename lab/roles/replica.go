package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const (
	// promptTime and eventTime are the times that an idle replica takes for a prompt and for an event; concurrent runs add to them.
	promptTime = 15 * time.Millisecond
	eventTime  = 4 * time.Millisecond
	// slots is the number of requests that a replica runs at a time; queued is the number that may wait for a slot.
	slots         = 17
	queueCapacity = 64
	// maxWorkBytes is the maximum size of a request body.
	maxWorkBytes = 4 << 20
)

// misbehavior is how a replica misbehaves. The numbers are shares of its responses.
type misbehavior struct {
	// loseAnswer closes the connection after the run without a response, breakOff cuts a stream halfway, fail responds with 500, spoil sends
	// a response after the run that is none, endless one without end, invalidHead one with an invalid head. breakUpload answers a long
	// request before it is read, and resets the connection.
	loseAnswer, breakOff, fail, spoil, endless, invalidHead, breakUpload float64
	// hang blocks all requests.
	hang bool
}

// replica is one incarnation of a simulated replica; a restart makes a new replica, even at the same address.
type replica struct {
	id, service, zone string
	// version is the version of the replica's software, which the data of its events depends on.
	version string
	address netip.AddrPort
	// startedMillis is the start time in Unix milliseconds, which distinguishes the incarnations of one id.
	startedMillis int64
	record        *record

	server *http.Server
	// ended is closed when the replica crashes, after endedAt has been set.
	ended   chan struct{}
	endedAt atomic.Pointer[time.Time]
	// endedBy is the mark of the work that ended the replica, nil if it was not ended by work.
	endedBy atomic.Pointer[string]
	leaving atomic.Bool
	// occupied holds one element for each occupied slot.
	occupied chan struct{}
	waiting  atomic.Int32
	// decisions counts the calls of occurs.
	decisions atomic.Int64

	// mutex guards current and hangEnded; hangEnded is closed when a hang ends.
	mutex     sync.Mutex
	current   misbehavior
	hangEnded chan struct{}
}

// startReplica starts a replica that listens at address; port 0 picks a free one.
func startReplica(id, service, version, zone, address string, received *record) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	started := &replica{
		id: id, service: service, version: version, zone: zone, address: listener.Addr().(*net.TCPAddr).AddrPort(), record: received,
		startedMillis: time.Now().UnixMilli(), ended: make(chan struct{}), occupied: make(chan struct{}, slots), hangEnded: make(chan struct{}),
	}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		// Serve returns when a crash closes the server.
		_ = started.server.Serve(listener)
	}()
	return started, nil
}

// crash ends the replica and closes all its connections.
func (r *replica) crash() {
	now := time.Now()
	if !r.endedAt.CompareAndSwap(nil, &now) {
		return
	}
	close(r.ended)
	// Errors on closing connections can be ignored.
	_ = r.server.Close()
}

// crashBecauseOf crashes the replica and records mark as the work that caused it.
func (r *replica) crashBecauseOf(mark string) {
	r.endedBy.CompareAndSwap(nil, &mark)
	r.crash()
}

// lives reports whether the replica has not ended.
func (r *replica) lives() bool { return r.endedAt.Load() == nil }

func (r *replica) setMisbehavior(next misbehavior) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.current.hang && !next.hang {
		close(r.hangEnded)
		r.hangEnded = make(chan struct{})
	}
	r.current = next
}

func (r *replica) misbehavior() (misbehavior, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current, r.hangEnded
}

// occurs returns true for share of its calls. It counts calls instead of drawing random numbers, so that the share is met even over few
// requests.
func (r *replica) occurs(share float64) bool {
	if share <= 0 {
		return false
	}
	number := float64(r.decisions.Add(1))
	return int64(number*share) != int64((number-1)*share)
}

// entry returns the replica's entry for the store.
func (r *replica) entry() []byte { return r.entryWith(r.version) }

// entryWith returns the replica's entry with the given version, empty for none.
func (r *replica) entryWith(version string) []byte {
	state := wire.StateReady
	if r.leaving.Load() {
		state = wire.StateDraining
	}
	encoded, err := json.Marshal(wire.ReplicaEntry{
		Service: r.service, Version: version, Address: r.address.String(), Zone: r.zone, Slots: slots, State: state, Born: r.startedMillis,
	})
	if err != nil {
		panic("encode replica entry: " + err.Error())
	}
	return encoded
}

// ServeHTTP runs work; GET requests, which are load reports and health checks, get the load report.
func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !r.waitForHang(request.Context()) {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	writer.Header().Set(wire.Headers.Load, fmt.Sprintf("%d,%d,%d", len(r.occupied), r.waiting.Load(), slots))
	if request.Method == http.MethodGet {
		r.report(writer)
		return
	}
	r.work(writer, request)
}

func (r *replica) report(writer http.ResponseWriter) {
	writer.Header().Set("X-Sloelift-Instance-Id", r.id)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(wire.ReportEntry{Running: len(r.occupied), Queued: int(r.waiting.Load()), Born: r.startedMillis})
}

func (r *replica) work(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(wire.Headers.RequestID)
	run := &sentRun{replica: r, arrivedAt: time.Now(), lastEvent: request.Header.Get(wire.Headers.LastEventID)}
	// A missing or invalid deadline counts as none.
	run.deadlineMillis, _ = strconv.ParseInt(request.Header.Get(wire.Headers.Deadline), 10, 64)
	writer.Header().Set(wire.Headers.RequestID, id)
	writer.Header().Set(wire.Headers.Signature, r.id+"."+id)
	if current, _ := r.misbehavior(); request.ContentLength > minBrokenUpload && r.occurs(current.breakUpload) {
		r.record.add(id, run)
		r.record.update(func() { run.started = true })
		r.breakUpload(writer, request)
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxWorkBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var payload work
	if err := json.Unmarshal(body, &payload); err != nil {
		r.reject(writer, http.StatusBadRequest)
		return
	}
	if wanted := request.Header.Get(wire.Headers.ExpectInstance); wanted != "" && wanted != r.id {
		r.reject(writer, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if run.deadlineMillis > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(run.deadlineMillis)*time.Millisecond)
		defer cancel()
	}
	r.record.add(id, run)
	if !r.acquireSlot(ctx) {
		r.recordStatus(run, http.StatusServiceUnavailable)
		r.reject(writer, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.occupied }()
	r.record.update(func() { run.started = true })
	r.run(ctx, writer, request, run, payload)
}

// acquireSlot waits for a free slot. It returns false if the queue is full, ctx ends or the replica ends.
func (r *replica) acquireSlot(ctx context.Context) bool {
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
	case <-ctx.Done():
		return false
	case <-r.ended:
		return false
	}
}

func (r *replica) reject(writer http.ResponseWriter, status int) {
	writer.Header().Set(wire.Headers.NotRun, "1")
	writer.WriteHeader(status)
}

func (r *replica) recordStatus(run *sentRun, status int) {
	r.record.update(func() { run.status = status })
}

// run does the work. It aborts if the caller disconnects, the deadline expires or the replica ends.
func (r *replica) run(ctx context.Context, writer http.ResponseWriter, request *http.Request, run *sentRun, payload work) {
	if !r.simulateWork(ctx, promptTime) {
		r.abort(ctx, writer, run, false)
		return
	}
	current, _ := r.misbehavior()
	failing := payload.Fail
	if failing == 0 && r.occurs(current.fail) {
		failing = http.StatusInternalServerError
	}
	switch {
	case failing != 0:
		r.recordStatus(run, failing)
		writer.WriteHeader(failing)
	case r.occurs(current.loseAnswer):
		r.abort(ctx, writer, run, false)
	case r.occurs(current.spoil):
		r.spoilAnswer(writer, request, spoiltAnswers)
	case r.occurs(current.invalidHead):
		r.spoilAnswer(writer, request, invalidHeads)
	case r.occurs(current.endless):
		r.answerWithoutEnd(writer, request)
	case request.Header.Get("Accept") == acceptWhole:
		r.answerWhole(ctx, writer, run, payload)
	default:
		r.answerStream(ctx, writer, run, payload, r.occurs(current.breakOff))
	}
}

// answerWhole sends the whole text as one response.
func (r *replica) answerWhole(ctx context.Context, writer http.ResponseWriter, run *sentRun, payload work) {
	if !r.simulateWork(ctx, time.Duration(payload.Events)*eventTime) {
		r.abort(ctx, writer, run, false)
		return
	}
	r.recordStatus(run, http.StatusOK)
	// An error means that the caller has disconnected.
	_, _ = io.WriteString(writer, payload.text(r.version))
}

// answerStream streams the events after the request's last event id; with truncate it cuts the stream halfway.
func (r *replica) answerStream(ctx context.Context, writer http.ResponseWriter, run *sentRun, payload work, truncate bool) {
	first := 1
	if after, err := strconv.Atoi(run.lastEvent); err == nil {
		first = after + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	for number := first; number <= payload.Events; number++ {
		if payload.EndsReplicaAt > 0 && number >= payload.EndsReplicaAt {
			r.crashBecauseOf(payload.Mark)
		}
		if !r.simulateWork(ctx, eventTime) || truncate && number > (first+payload.Events)/2 {
			r.abort(ctx, writer, run, number > first)
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, payload.event(r.version, number)); err != nil || flusher.Flush() != nil {
			r.abort(ctx, writer, run, true)
			return
		}
	}
	r.recordStatus(run, http.StatusOK)
}

// abort aborts a run by closing the connection. If the deadline has expired and nothing was sent, it responds with 504 instead.
func (r *replica) abort(ctx context.Context, writer http.ResponseWriter, run *sentRun, headSent bool) {
	if ctx.Err() == context.DeadlineExceeded && !headSent {
		r.recordStatus(run, http.StatusGatewayTimeout)
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler) // Closes the connection before the end of the response.
}

// simulateWork waits for the duration of some work, which is idleDuration on an idle replica and up to twice that with all slots in use.
// It returns false if the run has to end.
func (r *replica) simulateWork(ctx context.Context, idleDuration time.Duration) bool {
	slowdown := 1 + float64(len(r.occupied))/slots
	timer := time.NewTimer(time.Duration(float64(idleDuration) * slowdown))
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.waitForHang(ctx)
	case <-ctx.Done():
		return false
	case <-r.ended:
		return false
	}
}

// waitForHang waits while the replica hangs. It returns false if ctx ends or the replica has ended.
func (r *replica) waitForHang(ctx context.Context) bool {
	for {
		current, hangEnded := r.misbehavior()
		if !current.hang {
			return r.lives() && ctx.Err() == nil
		}
		select {
		case <-hangEnded:
		case <-ctx.Done():
			return false
		case <-r.ended:
			return false
		}
	}
}
