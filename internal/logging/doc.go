// Package logging sets up zerolog so that each event is one line of key=value
// pairs, and names the fields that several slices log.
package logging
