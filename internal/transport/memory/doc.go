// Package memory is the in-memory twin of the TCP transport. It encodes and counts
// the same frames, and delays, loses or cuts them as it is told, on the real clock
// or on the virtual one of testing/synctest. Frames of one direction may overtake
// each other where the delay has jitter.
package memory
