// Package engine is the client of one model engine (a replica): streams that can
// be resumed and cancelled by request id, load reports, cache events, KV cache
// export and import, and fenced orders. The wire form is described in
// docs/design/0002-engine-protocol.md.
package engine
