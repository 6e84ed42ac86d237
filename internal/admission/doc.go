// Package admission keeps the limits of tenants and priorities for online
// requests, and the credits that let batch items run on idle replicas.
//
// Online requests take no credits and see no batch queue.
package admission
