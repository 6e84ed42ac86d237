// Package ledgerbench measures the ledger on its own: stores on real disks, partition owners and the TCP
// transport on loopback, all in one process. It compares each case with a single copy in the same run.
package ledgerbench
