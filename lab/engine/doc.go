// Package engine emulates a model engine: continuous batching with a step time by
// batch size, prefill, a bounded prefix cache, priorities, resume and cancel, KV
// export and import, late cache events, lagged load reports and fenced orders.
package engine
