// Package roster brings each node the replicas that it chooses from. While there are few, each node keeps all. Beyond that a node keeps an
// even part of them, by its own name, so that its memory, its work for each choice and the bytes that it receives do not grow with the
// number of replicas: two relays of each zone follow the whole list at the key-value service and hold the others' questions until
// something of their part has changed.
package roster
