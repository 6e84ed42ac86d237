// Package network is the port through which a node listens and dials. The
// operating system's network is the default; tools and tests put one in its place
// that can cut, pause or kill a whole node.
package network
