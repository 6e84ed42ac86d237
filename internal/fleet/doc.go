// Package fleet is this node's directory of replicas, as immutable snapshots. It
// joins the machine list with load reports, cache events and the outcome of this
// node's own calls.
//
// For each replica one home node of its zone, chosen by rendezvous hashing over the
// live members, polls the engine for its load. The other nodes of the zone receive
// the changes as deltas; other zones receive summaries.
package fleet
