// Package network is the port through which a node listens and dials. The
// operating system's network is the default; tools and tests replace it by one that can
// partition, pause or kill a whole node.
package network
