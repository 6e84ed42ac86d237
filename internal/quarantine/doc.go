// Package quarantine finds the messages under which replicas end, and keeps them from the replicas that are left.
//
// A message is what several attempts share: a caller who tries again, a resumed stream, a batch item that is sent once more. Each run of a
// message that ends together with its replica is evidence against it, the more so the fewer messages ran there with it. Nodes share the
// evidence; one node, the keeper, has a suspected message run once at a time.
package quarantine
