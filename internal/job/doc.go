// Package job runs batch jobs on the ledger: accept once under resend, dispatch
// items on credits, complete each exactly once, cancel, deadlines, and results
// that stay readable. It also keeps the idempotency keys of online requests.
package job
