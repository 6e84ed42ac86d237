// Package placement brings the models, adapters and versions that the configuration
// declares to the replicas of each service, by fenced orders under the weight store's rate.
//
// One member orders for a service, chosen by rendezvous hash. It takes a fence token
// that rises by compare-and-swap in the key-value service, claims every replica with it,
// and only then changes a few replicas at a time: reserve the fetch, drain, unload, load,
// serve again. An orderer that was replaced is refused by every claimed engine.
package placement
