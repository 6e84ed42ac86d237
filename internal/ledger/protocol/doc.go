// Package protocol holds the ledger's protocol as pure step functions: Store is one
// partition at one store, Owner is one partition at the node that takes or holds it under a ballot.
// Nothing here reads a clock or does input or output, so the same code runs in a node, under
// property tests and beside the checked model in spec/.
package protocol
