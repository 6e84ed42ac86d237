// Package soak plays scenarios that are drawn from seeds on the real program, one process for each node, and judges what callers and
// engines saw.
package soak
