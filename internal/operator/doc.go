// Package operator is the operators' interface of a node on its admin port: apply,
// diff, get and withdraw configuration, jobs, status, health and metrics.
package operator
