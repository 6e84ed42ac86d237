// Package transport carries typed protobuf messages between nodes, in
// length-prefixed frames over TCP.
//
// It matches answers to requests by id, carries deadlines, bounds frames and
// what is queued for a peer, reconnects, and counts bytes by method. An
// in-memory twin in transport/memory encodes and counts the same frames, for tests on
// virtual time and for hollow nodes.
package transport
