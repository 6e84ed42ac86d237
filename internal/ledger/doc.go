// Package ledger is the replicated record log: partitions, each with an ensemble
// of stores in different zones, one owner at a time under a ballot, quorum
// appends, recovery and repair, and snapshots. docs/design/0004-ledger.md gives the
// protocol and spec/ its checked model.
package ledger
