// Package quarantine finds the messages under which replicas end, and keeps them from the replicas that are left.
//
// A message is what several attempts share: a caller who tries again, a resumed stream, a batch item that is sent once more. Each run of a
// message that ends together with its replica is evidence against it, the more so the fewer messages ran there with it.
package quarantine
