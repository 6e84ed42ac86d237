// Package admission admits online requests within the limits of tenants and
// priorities, and grants the credits that let batch items run on idle replicas.
//
// A credit is a lease on one slot of one replica. Each replica has one home
// node, which grants, renews and revokes its credits; nodes with waiting batch
// items are requesters. Online requests need no credits and do not wait behind
// batch items: when they need the slots, credits are revoked.
package admission
