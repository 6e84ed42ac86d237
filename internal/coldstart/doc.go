// Package coldstart bounds the requests that a replica gets while it is cold: for some time after its start, or after it was idle, it can
// take only a few requests per second, and fails well above them. The bound holds over all nodes together.
//
// The requests that a cold replica can take are divided into a few equal passes. A node sends to the replica only while it holds a pass:
// a key that the node has created in the key-value service, attached to a lease. At most one node can have created it, whatever the nodes
// know of each other. Rendezvous hashing over the live edges selects the nodes that try, so that a try seldom fails; it determines how well
// the passes are used, never whether the bound holds. A node that is cut off from the service, or has just started, holds no pass and
// sends nothing to cold replicas.
//
// The passes together stay below the bound by its slack, which is reserved for nodes that have not learned yet that the replica is cold.
package coldstart
