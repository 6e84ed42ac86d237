// Package changefeed brings the changes below some prefixes of the key-value service to all nodes, though only a few watch it: each call to
// the service is priced and bounded for all nodes together. The watchers pass on the newest state of each key that changed, and their
// positions; a node that misses something, by the revision of the change before or by a position, lists again, and a node that hears of no
// watcher watches by itself.
package changefeed
