// Package logging configures zerolog to write each event as one line of key=value
// pairs, and defines the names of fields logged by several slices.
package logging
