// Package engine is the client of model engines (replicas): streams that can be resumed and
// cancelled by request id, load reports, cache events, export and import of KV caches, and fenced
// orders. The protocol is described in docs/design/0002-engine-protocol.md.
package engine
