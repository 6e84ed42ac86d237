// Package replica knows the replicas of all services and calls them over HTTP/1.1.
//
// The Directory holds one Handle for each incarnation of a replica; what is learnt of it (load,
// failures, kept connections) lives and ends with the Handle. The Client sends one request on a
// connection at a time and tells, for each call without an answer, whether the request may have run.
package replica
