// Package hollow runs the control code of many nodes in one process, without
// traffic, and measures its cost per node.
//
// Each hollow node runs the product's membership, configuration relay and fleet slices
// over the in-memory transport. Engines, the machine list and the key-value service are
// simulated in the same process; the HTTP traffic of engines and machine list is
// estimated by the size of its JSON. Ledger, admission, sessions and jobs do not run
// here.
package hollow
