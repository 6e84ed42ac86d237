// Package origin keeps, among all nodes, which software began the streams of callers, so that a stream that its caller resumes at any
// node goes on with the version that began it, or not at all.
//
// The node that relays the first event of a stream records the stream's origin: it keeps the record itself and places copies at nodes
// chosen by rendezvous hashing, nodes with disks first. A record is written once and never changes; a node that has none draws no
// conclusion from that. Records expire soon after their caller's deadline.
package origin
