// Package node wires the slices of one node with fx, starts them in order and
// stops them so that no request in progress is cut.
package node
