// Package route contains the routing table, which maps requests to services and defines how they are served.
//
// A Table is immutable. The Holder replaces the whole table at once and accepts only higher
// versions, so that a running node never returns to an older one.
package route
