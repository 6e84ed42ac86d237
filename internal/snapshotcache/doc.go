// Package snapshotcache keeps the newest content of some prefixes of the key-value service, so that nodes can start while the service does
// not answer. Each node keeps what it follows in memory and hands it to nodes that ask; a node with a data folder keeps it in a file as
// well, with the addresses of the other nodes, for a loss of power of all of them. A node that starts and gets no listing within some tens
// of milliseconds takes the newest copy that its disk and several other nodes have, goes on to ask for newer ones, and follows the service as soon
// as that answers. A copy only ever replaces an older one, and never a listing of the service.
package snapshotcache
