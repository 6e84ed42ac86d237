// Package snapshotcache caches the content of some prefixes of the key-value service, so that nodes can start while the service does not
// answer. Each node keeps the prefixes it follows in memory and serves them to other nodes. A node with a data folder also writes them to a
// file, together with the addresses of the other nodes, to survive a power loss of the whole cluster. A starting node that gets no listing
// within some tens of milliseconds uses the newest copy found on its disk and on several other nodes, keeps fetching newer ones, and switches
// to the service as soon as it answers. A copy replaces only an older copy, never a listing of the service.
package snapshotcache
