// Package memory is an in-memory implementation of the transport. It encodes and counts
// the same frames as the TCP transport and simulates delay, jitter, loss and partitions,
// on the real clock or on the virtual one of testing/synctest. Frames of one direction
// may be reordered if the delay has jitter.
package memory
