// Package fleet is this node's directory of replicas: the machine list joined
// with load reports, cache events and own evidence, as immutable snapshots.
//
// For each replica one home node of its zone (rendezvous hash over live members)
// asks the engine for its load; the others of the zone hear it as deltas, other
// zones hear summaries.
package fleet
