// Package forward serves online requests: it matches the route, chooses a replica, sends the request there unchanged and relays the
// answer as it arrives, event by event for streams.
//
// A request that may have run is sent again only if its route allows that. A 503 that this process itself produces guarantees that
// the request has not run and will not run; a 502 or 504 guarantees nothing.
package forward
