// Package quota keeps the limits of tenants over all nodes together.
//
// Each tenant has one grantor at a time, the edge that ranks first for it by rendezvous hashing among those that live. The grantor holds the
// tenant's token bucket. An edge asks it for each request before a replica is chosen; requests that come while a question is under
// way share the next one. No state is durable.
//
// The limit of a tenant against which the slack is small is lent: each edge owns one part in all of it (lender) and lends it to one grantor
// at a time (borrower), so that it holds whoever grants.
//
// What keeps the sum below the limit of the other tenants:
//   - A bucket that begins has a small part of what the limit lets be exceeded, and nothing more, unless the grantor before hands over its
//     level and ceases to grant (Release). So a crash of the grantor, or of all nodes, gives nothing twice.
//   - The next edge in rank grants only once it does not reach those before it itself.
//   - A grantor grants the part of the limit that the edges it holds alive are of all that it knows: two sides of a cut together grant
//     the limit once, as soon as they know of the cut.
//   - An edge that reaches no grantor spends a part of what the limit lets be exceeded, its own share of it.
//
// Times are of the monotonic clock; steps of the time of day have no effect.
package quota
