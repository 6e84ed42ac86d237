// Package outcome holds the typed result that a caller is told about a request.
//
// Every layer between the callers' interface and the engines reports failures
// as an Outcome value inside an error made by this package, so that the statement
// "refused work did not run" is decided once, where the fact is known, and is
// never guessed by a later layer.
package outcome
