// Package section contains the type with which packages add a section to the status of
// their node. It imports nothing, so that packages that the operator package imports
// can use it.
package section

// GroupTag is the fx result tag with which a package provides a Section.
const GroupTag = `group:"status"`

// Section is a named part of the status. Report is called for each status request. It
// must be fast and safe for concurrent use; its result is encoded as JSON.
type Section struct {
	Name   string
	Report func() any
}
