// Package outcome defines the typed result of a request that is reported to its caller.
//
// Every layer between the callers' interface and the engines reports failures
// as an Outcome in an error of this package. Whether a refused request may have run
// is thus decided once, in the layer that knows it, and never guessed by another.
package outcome
