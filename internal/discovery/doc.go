// Package discovery keeps the routing table and the directory of replicas up to date from the key-value service, and delivers what else
// operators write there to its followers. It follows only two prefixes, the operators' and the replicas', since each further one would
// cost calls to the service.
package discovery
