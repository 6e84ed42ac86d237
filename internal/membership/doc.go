// Package membership knows which nodes live: incarnations, zone-aware probing with
// indirect probes, suspicion that a live node can refute, and news as bounded deltas.
package membership
