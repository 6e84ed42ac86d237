// Package zonerelay selects the relay nodes of each zone. Relays pass data that all nodes need on
// to the other nodes of their zone, so that it crosses the border between two zones a few times and
// not once for each node.
package zonerelay
