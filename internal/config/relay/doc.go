// Package relay brings the configuration in force to every node and provides it
// as config.Source.
//
// A few nodes of each zone, chosen by rendezvous hash over its live members, watch
// the key-value service and send each accepted change to the zone's others. All nodes
// exchange digests (revision and hash) with random peers in and across zones; who
// sees that it is behind pulls what it misses from a peer. The key-value service
// is therefore not needed to spread a revision that any node has.
//
// A node's revision never falls: a change is taken only onto the revision right before
// it, a whole document only if its revision is higher, whatever the source.
//
// protocol is the control state, a pure step(event) []action; Service runs it on one
// goroutine and publishes the Snapshot through an atomic pointer.
package relay
