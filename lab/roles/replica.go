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
	// promptTime is what a replica needs for a prompt, eventTime for an event, where it is empty; each run beside it adds a share.
	promptTime = 15 * time.Millisecond
	eventTime  = 4 * time.Millisecond
	// slots is how many requests a replica works on, queued how many more it takes.
	slots  = 17
	queued = 64
	// maxWorkBytes bounds a body.
	maxWorkBytes = 1 << 20
)

// manner is how a replica misbehaves at present. Shares are of its answers.
type manner struct {
	// loseAnswer runs the request and closes the connection without an answer, breakOff ends a stream within, fail answers 500.
	loseAnswer, breakOff, fail float64
	// hang holds all work back.
	hang bool
}

// replica is one life of a stand-in replica; a new life is a new replica, also at the same address.
type replica struct {
	id, service, zone string
	address           netip.AddrPort
	// born is when this life started, in Unix milliseconds; lives of one id differ in it.
	born   int64
	record *record

	server *http.Server
	// ended is closed when it crashes; endedAt is set before.
	ended   chan struct{}
	endedAt atomic.Pointer[time.Time]
	// endedBy is the mark of the work that ended it; nil where none did.
	endedBy atomic.Pointer[string]
	leaving atomic.Bool
	places  chan struct{}
	waiting atomic.Int32
	serial  atomic.Int64

	// mutex guards present and thawed, which is closed when a hang ends.
	mutex   sync.Mutex
	present manner
	thawed  chan struct{}
}

// startReplica listens at address, port 0 for any.
func startReplica(id, service, zone, address string, seen *record) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	started := &replica{
		id: id, service: service, zone: zone, address: listener.Addr().(*net.TCPAddr).AddrPort(), record: seen,
		born: time.Now().UnixMilli(), ended: make(chan struct{}), places: make(chan struct{}, slots), thawed: make(chan struct{}),
	}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		// A crash closes the server, at which Serve ends.
		_ = started.server.Serve(listener)
	}()
	return started, nil
}

// crash ends the replica: all its connections and runs.
func (r *replica) crash() {
	now := time.Now()
	if !r.endedAt.CompareAndSwap(nil, &now) {
		return
	}
	close(r.ended)
	// Errors of closing connections that have ended are of no matter.
	_ = r.server.Close()
}

// crashUnder is a crash by the work with that mark.
func (r *replica) crashUnder(mark string) {
	r.endedBy.CompareAndSwap(nil, &mark)
	r.crash()
}

// lives says that the replica has not ended.
func (r *replica) lives() bool { return r.endedAt.Load() == nil }

func (r *replica) behave(as manner) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.present.hang && !as.hang {
		close(r.thawed)
		r.thawed = make(chan struct{})
	}
	r.present = as
}

func (r *replica) manner() (manner, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.present, r.thawed
}

// chance decides by a count, so that a share is met also over few requests.
func (r *replica) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	number := float64(r.serial.Add(1))
	return int64(number*share) != int64((number-1)*share)
}

// entry is what the replica says of itself in the store.
func (r *replica) entry() []byte {
	state := wire.StateReady
	if r.leaving.Load() {
		state = wire.StateDraining
	}
	encoded, err := json.Marshal(wire.ReplicaEntry{Service: r.service, Address: r.address.String(), Zone: r.zone, Slots: slots, State: state, Born: r.born})
	if err != nil {
		panic("encode an entry: " + err.Error())
	}
	return encoded
}

// ServeHTTP serves work, the report of the load and the question of health.
func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !r.awaitThaw(request.Context()) {
		panic(http.ErrAbortHandler) // net/http's way to close the connection without an answer.
	}
	writer.Header().Set(wire.Headers.Load, fmt.Sprintf("%d,%d,%d", len(r.places), r.waiting.Load(), slots))
	if request.Method == http.MethodGet {
		r.report(writer)
		return
	}
	r.work(writer, request)
}

func (r *replica) report(writer http.ResponseWriter) {
	writer.Header().Set("X-Sloelift-Instance-Id", r.id)
	// The caller has gone where this fails.
	_ = json.NewEncoder(writer).Encode(wire.ReportEntry{Running: len(r.places), Queued: int(r.waiting.Load()), Born: r.born})
}

func (r *replica) work(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(wire.Headers.RequestID)
	run := &sentRun{replica: r, at: time.Now(), lastEvent: request.Header.Get(wire.Headers.LastEventID)}
	// A send without a deadline, or with one that is no number, names none.
	run.deadlineMillis, _ = strconv.ParseInt(request.Header.Get(wire.Headers.Deadline), 10, 64)
	writer.Header().Set(wire.Headers.RequestID, id)
	writer.Header().Set(wire.Headers.Signature, r.id+"."+id)
	body, err := io.ReadAll(io.LimitReader(request.Body, maxWorkBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var asked work
	if err := json.Unmarshal(body, &asked); err != nil {
		r.refuse(writer, http.StatusBadRequest)
		return
	}
	if wanted := request.Header.Get(wire.Headers.ExpectInstance); wanted != "" && wanted != r.id {
		r.refuse(writer, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	if run.deadlineMillis > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(run.deadlineMillis)*time.Millisecond)
		defer cancel()
	}
	r.record.add(id, run)
	if !r.takePlace(ctx) {
		r.finish(run, http.StatusServiceUnavailable)
		r.refuse(writer, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.record.note(func() { run.began = true })
	r.run(ctx, writer, request, run, asked)
}

// takePlace waits for a place among those that run; false where the queue is full or the time is over.
func (r *replica) takePlace(ctx context.Context) bool {
	select {
	case r.places <- struct{}{}:
		return true
	default:
	}
	if r.waiting.Add(1) > queued {
		r.waiting.Add(-1)
		return false
	}
	defer r.waiting.Add(-1)
	select {
	case r.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-r.ended:
		return false
	}
}

func (r *replica) refuse(writer http.ResponseWriter, status int) {
	writer.Header().Set(wire.Headers.NotRun, "1")
	writer.WriteHeader(status)
}

func (r *replica) finish(run *sentRun, status int) {
	r.record.note(func() { run.status = status })
}

// run does the work. A run whose caller left, whose time is over or whose replica ended is broken off.
func (r *replica) run(ctx context.Context, writer http.ResponseWriter, request *http.Request, run *sentRun, asked work) {
	if !r.pass(ctx, promptTime) {
		r.breakOff(ctx, writer, run, false)
		return
	}
	as, _ := r.manner()
	failing := asked.Fail
	if failing == 0 && r.chance(as.fail) {
		failing = http.StatusInternalServerError
	}
	switch {
	case failing != 0:
		r.finish(run, failing)
		writer.WriteHeader(failing)
	case r.chance(as.loseAnswer):
		r.breakOff(ctx, writer, run, false)
	case request.Header.Get("Accept") == acceptWhole:
		r.answerWhole(ctx, writer, run, asked)
	default:
		r.answerStream(ctx, writer, run, asked, r.chance(as.breakOff))
	}
}

// answerWhole answers with all that was asked for at once.
func (r *replica) answerWhole(ctx context.Context, writer http.ResponseWriter, run *sentRun, asked work) {
	if !r.pass(ctx, time.Duration(asked.Events)*eventTime) {
		r.breakOff(ctx, writer, run, false)
		return
	}
	r.finish(run, http.StatusOK)
	// The caller has gone where this fails.
	_, _ = io.WriteString(writer, asked.text())
}

// answerStream answers with the events behind the last one that the request names; with breaksOff it ends halfway.
func (r *replica) answerStream(ctx context.Context, writer http.ResponseWriter, run *sentRun, asked work, breaksOff bool) {
	first := 1
	if after, err := strconv.Atoi(run.lastEvent); err == nil {
		first = after + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	for number := first; number <= asked.Events; number++ {
		if asked.EndsReplicaAt > 0 && number >= asked.EndsReplicaAt {
			r.crashUnder(asked.Mark)
		}
		if !r.pass(ctx, eventTime) || breaksOff && number > (first+asked.Events)/2 {
			r.breakOff(ctx, writer, run, number > first)
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, asked.event(number)); err != nil || flusher.Flush() != nil {
			r.breakOff(ctx, writer, run, true)
			return
		}
	}
	r.finish(run, http.StatusOK)
}

// breakOff ends a run without the end of its answer; one whose time is over and that has sent nothing is answered 504.
func (r *replica) breakOff(ctx context.Context, writer http.ResponseWriter, run *sentRun, headSent bool) {
	if ctx.Err() == context.DeadlineExceeded && !headSent {
		r.finish(run, http.StatusGatewayTimeout)
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler) // net/http's way to close the connection within an answer.
}

// pass lets the time of some work go by, longer with more runs beside it; false where the run is to end.
func (r *replica) pass(ctx context.Context, alone time.Duration) bool {
	share := 1 + float64(len(r.places))/slots
	timer := time.NewTimer(time.Duration(float64(alone) * share))
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.awaitThaw(ctx)
	case <-ctx.Done():
		return false
	case <-r.ended:
		return false
	}
}

// awaitThaw waits while the replica hangs; false where the caller left or the replica ended.
func (r *replica) awaitThaw(ctx context.Context) bool {
	for {
		as, thawed := r.manner()
		if !as.hang {
			return r.lives() && ctx.Err() == nil
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		case <-r.ended:
			return false
		}
	}
}
