// Package replica keeps the directory of the replicas of all services and calls them over HTTP/1.1.
//
// The Directory holds one Handle for each incarnation of a replica. Load, failures and idle
// connections belong to the Handle and are discarded with it. The Client sends one request on a
// connection at a time and reports, for each call without a response, whether the request may have run.
package replica
