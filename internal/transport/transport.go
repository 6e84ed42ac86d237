package transport

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"
)

// Method names a message type between nodes, as "slice.verb".
type Method string

// Caller sends messages to other nodes. It is safe for concurrent use.
type Caller interface {
	// Call sends request, waits for the answer and decodes it into response.
	// ctx's deadline is sent with the request. An error of the remote handler is
	// returned as *RemoteError; KindNotSent means that the peer has not received the request.
	Call(ctx context.Context, to netip.AddrPort, method Method, request, response proto.Message) error
	// Send queues a one-way message, best effort: it may be lost without an error being returned.
	Send(to netip.AddrPort, method Method, message proto.Message) error
}

// Handler serves one method. For a one-way message the answer is dropped.
type Handler func(ctx context.Context, from netip.AddrPort, request proto.Message) (proto.Message, error)

// Registrar registers handlers. All must be registered before the transport starts.
type Registrar interface {
	// Handle registers handler; newRequest returns an empty request to decode into.
	// Registering a method twice panics.
	Handle(method Method, newRequest func() proto.Message, handler Handler)
}

// Handle registers a typed handler.
func Handle[Request, Response proto.Message](
	registrar Registrar,
	method Method,
	newRequest func() Request,
	handler func(ctx context.Context, from netip.AddrPort, request Request) (Response, error),
) {
	registrar.Handle(method,
		func() proto.Message { return newRequest() },
		func(ctx context.Context, from netip.AddrPort, request proto.Message) (proto.Message, error) {
			return handler(ctx, from, request.(Request))
		})
}
