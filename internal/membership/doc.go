// Package membership tracks which nodes of the fleet are alive. It implements a SWIM-style
// protocol: incarnations, zone-aware probes with indirect probes through helpers, suspicions that a
// live node can refute, and news of changes piggybacked on probes within a bounded size.
package membership
