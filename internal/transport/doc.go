// Package transport carries typed protobuf messages between nodes, in
// length-prefixed frames over TCP.
//
// It matches responses to requests by ID, propagates deadlines, bounds the size of
// frames and of each peer's send queue, reconnects, and counts bytes by method.
// Package transport/memory is an in-memory implementation that encodes and counts the
// same frames, for tests on virtual time and for hollow nodes.
package transport
