// Package hollow runs the control code of many nodes in one process, without
// traffic, and measures what it costs per node.
//
// Each hollow node has the product's own membership, configuration relay and fleet
// slices over the in-memory twin of the transport. Engines, the machine list and the
// key-value service are stand-ins in the same process; what would pass to them over
// HTTP is counted by the size of its JSON. Ledger, admission, sessions and jobs do
// not run here.
package hollow
