// Package soak runs scenarios that are drawn from seeds against the real program, with one process per node, and checks invariants on
// what callers and engines saw.
package soak
