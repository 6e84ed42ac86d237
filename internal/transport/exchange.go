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

// maxRunningHandlers bounds the handlers that run at once for one link. Past it a
// request is refused at once and a one-way message is dropped.
const maxRunningHandlers = 1024

// Link is one way to a peer: a connection, or the in-memory network's edge.
type Link interface {
	// Peer is the peer's listen address.
	Peer() netip.AddrPort
	// Enqueue queues a frame for the peer. It returns KindNotSent where the queue
	// stays full until ctx ends; with a ctx that has ended it never waits.
	Enqueue(ctx context.Context, frame *Outgoing) error
}

// Outgoing is one encoded frame on its way out.
type Outgoing struct {
	Method  Method
	Encoded []byte
	// call is nil for what is no request.
	call *pendingCall
}

// Depart marks the frame as leaving. Where it returns false the caller has given
// the request up and the frame must not be sent.
func (o *Outgoing) Depart() bool {
	return o.call == nil || o.call.state.CompareAndSwap(callQueued, callSent)
}

// Fail tells the caller that the frame, which never departed, will not be sent.
func (o *Outgoing) Fail(cause error) {
	if o.call != nil && o.call.state.CompareAndSwap(callQueued, callAbandoned) {
		o.call.answer <- callResult{err: KindNotSent.Wrap(cause, "call %s to %s", o.Method, o.call.link.Peer())}
	}
}

type registration struct {
	newRequest func() proto.Message
	handler    Handler
}

// Exchange matches responses to requests and runs handlers. The TCP transport and
// its in-memory twin share it. Handlers are registered before the first frame.
type Exchange struct {
	counters *Counters
	handlers map[Method]registration
	lastID   atomic.Uint64

	// mutex guards pending and running.
	mutex   sync.Mutex
	pending map[uint64]*pendingCall
	running map[runningKey]context.CancelFunc
	perLink map[Link]int
	// handlersDone counts running handlers, so that Wait can end after them. It is added to
	// under mutex and only while stopped is false, so never while Wait waits.
	handlersDone sync.WaitGroup
	stopped      bool
}

type runningKey struct {
	link      Link
	requestID uint64
}

// States of a pendingCall, in order.
const (
	callQueued int32 = iota
	callSent
	callAbandoned
)

type pendingCall struct {
	link   Link
	method Method
	state  atomic.Int32
	// answer has room for the one result, so that its sender never blocks.
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
		counters: counters,
		handlers: map[Method]registration{methodSign: signRegistration},
		pending:  make(map[uint64]*pendingCall),
		running:  make(map[runningKey]context.CancelFunc),
		perLink:  make(map[Link]int),
	}
}

// Handle registers a handler; a second registration of a method panics.
func (e *Exchange) Handle(method Method, newRequest func() proto.Message, handler Handler) {
	if _, present := e.handlers[method]; present {
		panic("transport: method registered twice: " + string(method))
	}
	e.handlers[method] = registration{newRequest: newRequest, handler: handler}
}

// Call sends a request over link and waits for its answer.
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
	defer e.takePending(requestID)
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

// abandon gives a call up: it was never sent, or its handler is told to stop.
func (e *Exchange) abandon(ctx context.Context, requestID uint64, call *pendingCall) error {
	if call.state.CompareAndSwap(callQueued, callAbandoned) {
		return KindNotSent.Wrap(ctx.Err(), "call %s to %s", call.method, call.link.Peer())
	}
	cancel := &transportpb.Frame{Kind: transportpb.Frame_KIND_CANCEL, RequestId: requestID}
	if encoded, err := EncodeFrame(cancel); err == nil {
		// Best effort: the request's own deadline ends the handler otherwise.
		_ = call.link.Enqueue(expired, &Outgoing{Method: methodCancel, Encoded: encoded})
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

// Send queues a one-way message on link without waiting.
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
	return link.Enqueue(expired, &Outgoing{Method: method, Encoded: encoded})
}

// Receive takes one frame of size bytes that came over link. ctx ends with the link.
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
	call := e.takePending(frame.GetRequestId())
	if call == nil || call.link != link {
		e.counters.Received("transport.late_response", size)
		return
	}
	e.counters.Received(call.method, size)
	call.answer <- callResult{frame: frame}
}

func (e *Exchange) receiveRequest(ctx context.Context, link Link, frame *transportpb.Frame, size int) error {
	method := Method(frame.GetMethod())
	registered, known := e.handlers[method]
	if !known {
		e.counters.Received("transport.unknown_method", size)
		e.respond(ctx, link, frame, nil, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "unknown method "+frame.GetMethod()))
		return nil
	}
	e.counters.Received(method, size)
	request := registered.newRequest()
	if err := proto.Unmarshal(frame.GetPayload(), request); err != nil {
		return KindMalformed.New("payload of %s is not valid: %s", method, err.Error())
	}
	handlerContext, cancel := contextOf(ctx, frame)
	key := runningKey{link: link, requestID: frame.GetRequestId()}
	if refusal := e.startRunning(key, cancel); refusal != nil {
		cancel()
		e.respond(ctx, link, frame, nil, refusal)
		return nil
	}
	go func() {
		defer e.handlersDone.Done()
		defer cancel()
		defer e.endRunning(key)
		answer, err := registered.handler(handlerContext, link.Peer(), request)
		e.respond(handlerContext, link, frame, answer, err)
	}()
	return nil
}

// respond sends a handler's answer; a one-way message has none.
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
	// The caller's deadline bounds the wait for room in the queue; past it nobody listens.
	_ = link.Enqueue(ctx, &Outgoing{Method: method, Encoded: encoded})
}

// LinkClosed ends all that waits on or runs for link: calls that were sent get
// KindNoAnswer, handlers are cancelled.
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

// Wait refuses all further requests and returns when no handler runs any more.
func (e *Exchange) Wait() {
	e.mutex.Lock()
	e.stopped = true
	e.mutex.Unlock()
	e.handlersDone.Wait()
}

// waitsOn says whether a call over link has no answer yet.
func (e *Exchange) waitsOn(link Link) bool {
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

func (e *Exchange) takePending(requestID uint64) *pendingCall {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	call := e.pending[requestID]
	delete(e.pending, requestID)
	return call
}

// startRunning counts a handler that is about to run, or tells why it must not.
func (e *Exchange) startRunning(key runningKey, cancel context.CancelFunc) *outcome.Error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stopped {
		return errStopped
	}
	if e.perLink[key.link] >= maxRunningHandlers {
		return errTooManyRequests
	}
	e.perLink[key.link]++
	if key.requestID != 0 {
		e.running[key] = cancel
	}
	e.handlersDone.Add(1)
	return nil
}

func (e *Exchange) endRunning(key runningKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, key)
	if e.perLink[key.link]--; e.perLink[key.link] == 0 {
		delete(e.perLink, key.link)
	}
}

func (e *Exchange) cancelRunning(key runningKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if cancel, present := e.running[key]; present {
		cancel()
	}
}

// expired is a context that has ended: what takes it never waits.
var expired = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func timeoutMicros(ctx context.Context) uint64 {
	deadline, present := ctx.Deadline()
	if !present {
		return 0
	}
	return uint64(max(time.Until(deadline).Microseconds(), 1))
}

func contextOf(ctx context.Context, frame *transportpb.Frame) (context.Context, context.CancelFunc) {
	if frame.GetTimeoutMicros() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, microseconds(frame.GetTimeoutMicros()))
}
