// Package session carries one request from its first byte to its last: pick a
// replica, stream, and on a failure retry or resume on another one, so that the
// caller gets the whole answer once and in order; a request marked as not
// repeatable is run at most once.
package session
