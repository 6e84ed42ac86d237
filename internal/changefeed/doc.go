// Package changefeed distributes the changes below some prefixes of the key-value service to all nodes, while only a few nodes, the
// watchers, watch the service: each call to it costs money, and the rate of calls of all nodes together is limited.
//
// The watchers forward the latest state of each changed key, and heartbeats with their position (the revision of the newest change) for
// each prefix. A node detects a missed change by the revision of the preceding change or by a position, and lists the prefix again. A node
// that receives nothing from any watcher watches the service itself.
package changefeed
