// Package routing chooses the replica that serves a request: filters remove
// replicas that cannot serve it, scorers estimate the delay on the others, and
// a picker chooses among the cheapest. Each of them is in a file of its own.
package routing
