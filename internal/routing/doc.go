// Package routing decides which replica serves a request: typed filters remove
// replicas, scorers weigh the rest, a picker takes one. Each is one file.
package routing
