// Package operator implements the HTTP interface for operators on the admin port of a
// node, and its client: apply, diff, get and withdraw configuration; jobs; status,
// health and metrics.
package operator
