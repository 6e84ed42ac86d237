// Package section holds the type by which slices add to the status of their node. It
// imports nothing, so that slices which the operators' interface uses can contribute.
package section

// GroupTag is the result tag with which a slice provides a Section.
const GroupTag = `group:"status"`

// Section is what a slice adds to the status. Report is called for each request; it must
// be quick and safe for concurrent use, and its value is encoded as JSON.
type Section struct {
	Name   string
	Report func() any
}
