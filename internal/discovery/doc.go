// Package discovery keeps the routing table and the directory of replicas up to date from the key-value service.
package discovery
