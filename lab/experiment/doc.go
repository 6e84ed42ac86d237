// Package experiment runs whole deployments on loopback addresses under load and
// injected faults, and checks invariants on what callers, engines and nodes saw.
package experiment
