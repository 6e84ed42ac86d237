// Package discovery keeps the routing table and the directory of replicas up to date from the key-value service, and passes on what else
// operators write there. It follows two prefixes, that of the operators and that of the replicas: each further one would cost calls.
package discovery
