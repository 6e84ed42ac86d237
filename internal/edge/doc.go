// Package edge is the process that callers reach: its listeners, its readiness and its planned stop.
package edge
