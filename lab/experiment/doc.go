// Package experiment runs whole deployments on loopback under a load and a list of
// faults and checks the invariants on what callers, engines and ledgers saw.
package experiment
