// Package retirement empties storage nodes that the operators want to take away, and tells when one may go.
package retirement
