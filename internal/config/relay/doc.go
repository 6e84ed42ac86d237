// Package relay distributes the configuration to all nodes and provides it as
// config.Source.
//
// A few nodes of each zone, chosen by rendezvous hashing over its live members, watch
// the key-value service and send each accepted change to the other nodes of the zone.
// All nodes exchange digests (revision and hash) with random peers in and across
// zones; a node that is behind pulls the missing changes from a peer. A revision that
// any node has therefore spreads without the key-value service.
//
// The revision of a node never decreases, whatever the source: a delta is applied only
// to the revision directly before it, and a whole document is adopted only if its
// revision is higher.
//
// protocol is the state machine, a pure step(event) []action. Service runs it on one
// goroutine and publishes the Snapshot through an atomic pointer.
package relay
