// Package job runs batch jobs on the replicated ledger. A resubmitted job is accepted
// once, items are dispatched as admission grants credits, and exactly one result is
// recorded for each item. The package also handles cancels, deadlines, the retention of
// results, uploaded files, and the idempotency keys of online requests.
package job
