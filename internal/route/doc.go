// Package route holds the routing table: which service answers a request, and under which terms.
//
// A Table is immutable. The Holder swaps the whole table at once and takes only higher
// versions, so that a node never goes back to an older one within its life.
package route
