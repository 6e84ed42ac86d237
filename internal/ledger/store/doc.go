// Package store keeps partitions of the ledger on one disk and answers requests from their owners.
//
// One goroutine steps the partitions' protocol.StoreState and writes the changes to a
// pebble database. Requests that arrive together, for any partitions, share one write and one
// fsync, and are answered after it. Bulk reads run on the callers' goroutines.
package store
