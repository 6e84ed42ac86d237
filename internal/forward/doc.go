// Package forward serves callers' requests that are passed on unchanged: it finds the route, chooses a replica, sends the
// request there and gives the answer back as it comes, event by event for streams.
//
// A request that may have run is sent again only where its route allows that. An answer of this process's own with
// status 503 promises that the request has not run and will not; 502 and 504 promise nothing.
package forward
