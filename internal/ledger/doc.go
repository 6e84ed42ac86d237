// Package ledger is a replicated record log. It is divided into partitions. Each partition has an ensemble
// of stores in different zones and at most one owner that can commit, under a ballot; the owner appends to a write
// quorum, recovers and repairs the log, and takes snapshots. docs/design/0004-ledger.md describes the protocol;
// spec/ holds its checked model.
package ledger
