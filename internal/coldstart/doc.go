// Package coldstart bounds the requests that a replica gets while it is cold: for some time after its start, or after it has been idle, it
// can take a few requests a second only, and fails well above them. The bound holds over all nodes together.
//
// The requests that a cold replica can take are divided into a few equal passes. A node sends to it only while it holds a pass, which is a key that the node has
// created in the key-value service, bound to a lease: of all nodes, whatever they know of each other, one at most has created it. Which
// nodes try follows from rendezvous hashing over the live edges, so that they seldom try in vain; this decides how well the passes are used
// and never whether the bound holds. A node that is cut off from the service, or was just started, holds none and sends nothing there.
//
// The passes together stay below the bound by its slack, which is left for nodes that do not know yet that the replica has turned cold.
package coldstart
