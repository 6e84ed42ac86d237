// Package hollow runs the control code of many nodes in one process, without
// traffic, and measures what it costs per node.
package hollow
