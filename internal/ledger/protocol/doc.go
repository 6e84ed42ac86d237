// Package protocol implements the ledger's replication protocol as pure step functions. StoreState is the
// state of one partition at one store; Owner drives one partition at the node that acquires or holds its
// ownership under a ballot. The package reads no clock and does no I/O, so the same code runs in a node and
// under property tests, and can be compared with the checked model in spec/.
package protocol
