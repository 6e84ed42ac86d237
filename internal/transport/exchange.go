package transport

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
	"github.com/sloelift/sloelift/internal/outcome"
)

// maxRunningHandlers bounds the handlers running concurrently for one link. Above it,
// requests are refused at once and one-way messages are dropped.
const maxRunningHandlers = 1024

// Link is a path to one peer: a TCP connection, or a link of the in-memory network.
type Link interface {
	// Peer is the peer's listen address.
	Peer() netip.AddrPort
	// Enqueue queues a frame for the peer. It returns KindNotSent if the queue
	// stays full until ctx ends; if ctx has already ended it never waits.
	Enqueue(ctx context.Context, frame *Outgoing) error
}

// Outgoing is an encoded frame to be sent.
type Outgoing struct {
	Method  Method
	Encoded []byte
	// call is the call that waits for an answer; nil unless the frame is a request.
	call *pendingCall
}

// MarkSent marks the frame as sent. If it returns false, the caller has abandoned
// the request and the frame must not be sent.
func (o *Outgoing) MarkSent() bool {
	return o.call == nil || o.call.state.CompareAndSwap(callQueued, callSent)
}

// Fail completes the frame's call with KindNotSent, unless the frame was already marked
// as sent or its call abandoned.
func (o *Outgoing) Fail(cause error) {
	if o.call != nil && o.call.state.CompareAndSwap(callQueued, callAbandoned) {
		o.call.answer <- callResult{err: KindNotSent.Wrap(cause, "call %s to %s", o.Method, o.call.link.Peer())}
	}
}

type methodRegistration struct {
	newRequest func() proto.Message
	handler    Handler
}

// Exchange matches responses to requests and runs handlers. The TCP and in-memory
// transports share it. All handlers must be registered before the first frame is received.
type Exchange struct {
	counters *Counters
	handlers map[Method]methodRegistration
	lastID   atomic.Uint64

	// mutex guards pending, running, runningPerLink and stopped.
	mutex          sync.Mutex
	pending        map[uint64]*pendingCall
	running        map[runningKey]context.CancelFunc
	runningPerLink map[Link]int
	// runningHandlers lets Wait wait for handlers. It is incremented only under mutex and while
	// stopped is false, so never while Wait is waiting.
	runningHandlers sync.WaitGroup
	stopped         bool
}

type runningKey struct {
	link      Link
	requestID uint64
}

// States of a pendingCall: callQueued changes to either of the others, which are final.
const (
	callQueued int32 = iota
	callSent
	callAbandoned
)

type pendingCall struct {
	link   Link
	method Method
	state  atomic.Int32
	// answer has capacity for the single result, so that its sender never blocks.
	answer chan callResult
}

type callResult struct {
	frame *transportpb.Frame
	err   error
}

var (
	errStopped         = outcome.New(outcome.NotRun, outcome.ReasonLeaving, "this node has stopped").After(time.Second)
	errTooManyRequests = outcome.New(outcome.NotRun, outcome.ReasonOverloaded, "too many requests on this connection").After(time.Second)
)

// NewExchange returns an Exchange without handlers.
func NewExchange(counters *Counters) *Exchange {
	return &Exchange{
		counters:       counters,
		handlers:       map[Method]methodRegistration{methodPing: pingRegistration},
		pending:        make(map[uint64]*pendingCall),
		running:        make(map[runningKey]context.CancelFunc),
		runningPerLink: make(map[Link]int),
	}
}

// Handle registers a handler; it panics if the method already has one.
func (e *Exchange) Handle(method Method, newRequest func() proto.Message, handler Handler) {
	if _, present := e.handlers[method]; present {
		panic("transport: method registered twice: " + string(method))
	}
	e.handlers[method] = methodRegistration{newRequest: newRequest, handler: handler}
}

// Call sends a request over link, waits for the answer and decodes it into response.
func (e *Exchange) Call(ctx context.Context, link Link, method Method, request, response proto.Message) error {
	if err := ctx.Err(); err != nil {
		return KindNotSent.Wrap(err, "call %s", method)
	}
	payload, err := proto.Marshal(request)
	if err != nil {
		return KindNotSent.Wrap(err, "encode %s", method)
	}
	requestID := e.lastID.Add(1)
	encoded, err := EncodeFrame(&transportpb.Frame{
		Kind:          transportpb.Frame_KIND_REQUEST,
		RequestId:     requestID,
		Method:        string(method),
		TimeoutMicros: timeoutMicros(ctx),
		Payload:       payload,
	})
	if err != nil {
		return err
	}
	call := &pendingCall{link: link, method: method, answer: make(chan callResult, 1)}
	e.addPending(requestID, call)
	defer e.removePending(requestID)
	if err := link.Enqueue(ctx, &Outgoing{Method: method, Encoded: encoded, call: call}); err != nil {
		return err
	}
	select {
	case result := <-call.answer:
		return decodeAnswer(result, method, response)
	case <-ctx.Done():
		return e.abandon(ctx, requestID, call)
	}
}

// abandon ends a call whose ctx has ended. A call that was sent is cancelled at the peer.
func (e *Exchange) abandon(ctx context.Context, requestID uint64, call *pendingCall) error {
	if call.state.CompareAndSwap(callQueued, callAbandoned) {
		return KindNotSent.Wrap(ctx.Err(), "call %s to %s", call.method, call.link.Peer())
	}
	cancel := &transportpb.Frame{Kind: transportpb.Frame_KIND_CANCEL, RequestId: requestID}
	if encoded, err := EncodeFrame(cancel); err == nil {
		// Best effort: if the cancel frame is lost, the request's own deadline ends the handler.
		_ = call.link.Enqueue(expiredContext, &Outgoing{Method: methodCancel, Encoded: encoded})
	}
	return KindNoAnswer.Wrap(ctx.Err(), "call %s to %s", call.method, call.link.Peer())
}

func decodeAnswer(result callResult, method Method, response proto.Message) error {
	if result.err != nil {
		return result.err
	}
	if result.frame.GetError() != nil {
		return decodeError(result.frame.GetError())
	}
	if err := proto.Unmarshal(result.frame.GetPayload(), response); err != nil {
		return KindNoAnswer.Wrap(err, "decode answer of %s", method)
	}
	return nil
}

// Send queues a one-way message on link without waiting; it returns KindNotSent if the queue is full.
func (e *Exchange) Send(link Link, method Method, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return KindNotSent.Wrap(err, "encode %s", method)
	}
	encoded, err := EncodeFrame(&transportpb.Frame{
		Kind:    transportpb.Frame_KIND_ONE_WAY,
		Method:  string(method),
		Payload: payload,
	})
	if err != nil {
		return err
	}
	return link.Enqueue(expiredContext, &Outgoing{Method: method, Encoded: encoded})
}

// Receive handles one frame of size bytes received over link. ctx must end with the link.
// It does not wait for handlers. A payload that does not decode is KindMalformed.
func (e *Exchange) Receive(ctx context.Context, link Link, frame *transportpb.Frame, size int) error {
	switch frame.GetKind() {
	case transportpb.Frame_KIND_REQUEST, transportpb.Frame_KIND_ONE_WAY:
		return e.receiveRequest(ctx, link, frame, size)
	case transportpb.Frame_KIND_RESPONSE:
		e.receiveResponse(link, frame, size)
	case transportpb.Frame_KIND_CANCEL:
		e.counters.Received(methodCancel, size)
		e.cancelRunning(runningKey{link: link, requestID: frame.GetRequestId()})
	default:
		return KindMalformed.New("frame of kind %d in the middle of a connection", frame.GetKind())
	}
	return nil
}

func (e *Exchange) receiveResponse(link Link, frame *transportpb.Frame, size int) {
	call := e.removePending(frame.GetRequestId())
	if call == nil || call.link != link {
		e.counters.Received("transport.late_response", size)
		return
	}
	e.counters.Received(call.method, size)
	call.answer <- callResult{frame: frame}
}

func (e *Exchange) receiveRequest(ctx context.Context, link Link, frame *transportpb.Frame, size int) error {
	method := Method(frame.GetMethod())
	entry, known := e.handlers[method]
	if !known {
		e.counters.Received("transport.unknown_method", size)
		e.respond(ctx, link, frame, nil, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "unknown method "+frame.GetMethod()))
		return nil
	}
	e.counters.Received(method, size)
	request := entry.newRequest()
	if err := proto.Unmarshal(frame.GetPayload(), request); err != nil {
		return KindMalformed.New("payload of %s is not valid: %s", method, err.Error())
	}
	handlerContext, cancel := withFrameTimeout(ctx, frame)
	key := runningKey{link: link, requestID: frame.GetRequestId()}
	if refusal := e.startRunning(key, cancel); refusal != nil {
		cancel()
		e.respond(ctx, link, frame, nil, refusal)
		return nil
	}
	go func() {
		defer e.runningHandlers.Done()
		defer cancel()
		defer e.endRunning(key)
		answer, err := entry.handler(handlerContext, link.Peer(), request)
		e.respond(handlerContext, link, frame, answer, err)
	}()
	return nil
}

// respond sends the response to a request; one-way messages get none.
func (e *Exchange) respond(ctx context.Context, link Link, request *transportpb.Frame, response proto.Message, err error) {
	if request.GetKind() != transportpb.Frame_KIND_REQUEST {
		return
	}
	method := Method(request.GetMethod())
	frame := &transportpb.Frame{Kind: transportpb.Frame_KIND_RESPONSE, RequestId: request.GetRequestId()}
	if err == nil {
		frame.Payload, err = proto.Marshal(response)
	}
	if err != nil {
		frame.Error = encodeError(err)
	}
	encoded, err := EncodeFrame(frame)
	if err != nil {
		frame.Payload, frame.Error = nil, encodeError(
			outcome.Wrap(err, outcome.Indeterminate, outcome.ReasonTooLarge, "the answer does not fit a frame"))
		if encoded, err = EncodeFrame(frame); err != nil {
			return
		}
	}
	// The caller's deadline bounds the wait for queue space; after it nobody waits for the response.
	_ = link.Enqueue(ctx, &Outgoing{Method: method, Encoded: encoded})
}

// LinkClosed ends all work for a closed link: calls already sent fail with
// KindNoAnswer, and running handlers are cancelled.
func (e *Exchange) LinkClosed(link Link, cause error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for requestID, call := range e.pending {
		if call.link == link && call.state.Load() == callSent {
			delete(e.pending, requestID)
			call.answer <- callResult{err: KindNoAnswer.Wrap(cause, "call %s to %s", call.method, link.Peer())}
		}
	}
	for key, cancel := range e.running {
		if key.link == link {
			cancel()
		}
	}
}

// Wait refuses all further requests and returns when no handler is running.
func (e *Exchange) Wait() {
	e.mutex.Lock()
	e.stopped = true
	e.mutex.Unlock()
	e.runningHandlers.Wait()
}

// hasPendingCall reports whether a call over link is waiting for its answer.
func (e *Exchange) hasPendingCall(link Link) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, call := range e.pending {
		if call.link == link {
			return true
		}
	}
	return false
}

func (e *Exchange) addPending(requestID uint64, call *pendingCall) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.pending[requestID] = call
}

func (e *Exchange) removePending(requestID uint64) *pendingCall {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	call := e.pending[requestID]
	delete(e.pending, requestID)
	return call
}

// startRunning registers a handler that is about to run, or returns why it must not run.
func (e *Exchange) startRunning(key runningKey, cancel context.CancelFunc) *outcome.Error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stopped {
		return errStopped
	}
	if e.runningPerLink[key.link] >= maxRunningHandlers {
		return errTooManyRequests
	}
	e.runningPerLink[key.link]++
	if key.requestID != 0 {
		e.running[key] = cancel
	}
	e.runningHandlers.Add(1)
	return nil
}

func (e *Exchange) endRunning(key runningKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, key)
	if e.runningPerLink[key.link]--; e.runningPerLink[key.link] == 0 {
		delete(e.runningPerLink, key.link)
	}
}

func (e *Exchange) cancelRunning(key runningKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if cancel, present := e.running[key]; present {
		cancel()
	}
}

// expiredContext is a cancelled context; Enqueue called with it never waits.
var expiredContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// timeoutMicros returns the time until ctx's deadline in microseconds, at least 1; 0 without a deadline.
func timeoutMicros(ctx context.Context) uint64 {
	deadline, present := ctx.Deadline()
	if !present {
		return 0
	}
	return uint64(max(time.Until(deadline).Microseconds(), 1))
}

// withFrameTimeout bounds ctx by the request's timeout, if it has one.
func withFrameTimeout(ctx context.Context, frame *transportpb.Frame) (context.Context, context.CancelFunc) {
	if frame.GetTimeoutMicros() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, microseconds(frame.GetTimeoutMicros()))
}
