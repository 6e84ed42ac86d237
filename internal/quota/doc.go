// Package quota enforces the rate limits of tenants across all edges.
//
// Each tenant has one grantor at a time: the live edge that ranks first for it by rendezvous hashing. The grantor holds the tenant's token
// bucket. An edge asks it for each request before choosing a replica; requests that arrive while a grant call is in flight share the next
// call. No state is durable.
//
// The slack is the number of requests by which a tenant may exceed its limit in one window (Allowance).
//
// If the slack is small compared with the limit, the limit is leased in parts: each edge owns an equal part of it (lender) and leases that part
// to one grantor at a time (borrower). The limit then holds whichever edges act as grantors.
//
// For the other tenants the following keeps the sum of all grants below the limit and its slack:
//   - A new bucket starts with a small fraction of the slack and no more, unless the previous grantor hands over its level and stops
//     granting (Release). So nothing is granted twice after a crash of the grantor, or of all nodes.
//   - A lower-ranked edge grants only while it cannot itself reach the edges that rank before it.
//   - A grantor grants the share of the limit that the edges it considers alive make up among all known edges. So the two sides of a
//     partition together grant the limit once, as soon as both know of the partition.
//   - An edge that reaches no grantor spends its own share of a fraction of the slack.
//
// All times are taken from the monotonic clock; steps of the wall clock have no effect.
package quota
