// Package quarantine finds the messages that crash replicas and keeps them from the remaining ones.
//
// A message is what several attempts share: a caller's retries, a resumed stream, a batch item that is sent again. A
// run is one execution of a message at a replica. An incident is the end of a replica's process together with the
// messages that were running there, its suspects. Each incident is evidence against its suspects; the fewer there were,
// the stronger it is. A run that loses its connection although its replica was not found to have ended is a loss, which
// is weaker evidence.
//
// The verdict on a message follows from the evidence: it is Allowed, Apart (suspected) or Rejected. Nodes exchange
// their evidence by notices. A suspected message runs once at a time over all nodes: its keeper, a node chosen by
// rendezvous hashing, grants each run.
package quarantine
