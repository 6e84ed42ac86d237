// Package node wires the slices of one node with fx, starts them in order and
// stops them without interrupting requests in flight.
package node
