// Package engine emulates a model engine: continuous batching with a step time that
// depends on the batch size, prefill, a bounded prefix cache, priorities, resume and
// cancel, KV cache export and import, delayed cache events, delayed load reports and
// orders with fencing tokens.
package engine
