// Package edge runs the HTTP server of a process that accepts callers: its listeners, its readiness
// and its graceful shutdown.
package edge
