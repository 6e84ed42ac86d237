// Package config contains the operators' declarations: their types, the strict
// parser that reports positions, the store that applies files atomically, and
// the immutable Snapshot of one revision of the configuration.
package config
