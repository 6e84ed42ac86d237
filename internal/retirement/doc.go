// Package retirement drains storage nodes that operators want to remove, and reports when a node may be removed.
package retirement
