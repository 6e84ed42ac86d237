// Package roster provides each node with the replicas that it routes to. While there are few
// replicas, each node keeps all of them. Beyond that each node keeps an even part of them, selected
// by its name, so that its memory, the work for each routing decision and the bytes that it
// receives do not grow with the number of replicas. Two relays in each zone follow the whole list
// at the key-value service, and answer the long polls of the other nodes when something in their
// part has changed.
package roster
