// Package config holds the operators' declarations: their types, the strict
// parser with positions, the store that applies a file whole or not at all, and
// the immutable Snapshot of the revision in force.
package config
