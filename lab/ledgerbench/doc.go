// Package ledgerbench measures the ledger alone: stores on real disks, owners and the TCP transport on the
// loopback, all in one process. It compares each case with a single copy in the same run.
package ledgerbench
