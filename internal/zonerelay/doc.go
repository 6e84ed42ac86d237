// Package zonerelay says which nodes of each zone pass on to the others of it what all nodes are to know, so that it crosses each border
// between zones a few times and not once for each node.
package zonerelay
