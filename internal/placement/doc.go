// Package placement brings the models, adapters and versions that the configuration declares to the replicas of each service, with
// fenced orders and within the fetch rate of the weight store.
//
// One member, the orderer, sends the orders for a service; it is chosen by rendezvous hashing. It takes a fencing token, which increases
// by compare-and-swap in the key-value service, and claims every replica with it. Only then does it change a few replicas at a time:
// reserve the fetch, drain, unload, load, return to service. Every claimed engine refuses the orders of an earlier orderer.
package placement
