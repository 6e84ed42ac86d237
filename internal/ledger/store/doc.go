// Package store keeps partitions of the ledger on one disk and answers their owners.
//
// One goroutine steps the partitions' protocol.StoreState and writes what changes to a
// pebble database; requests that arrive together, for any partitions, share one write and one
// fsync, and are answered after it. Bulk reads run on the callers' goroutines.
package store
