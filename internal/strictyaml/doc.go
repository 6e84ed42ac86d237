// Package strictyaml decodes hand-written YAML into structs and reports all problems
// with line, column and field. It is stricter than YAML: unknown and repeated keys,
// anchors, aliases, tags and merge keys are problems, a text is never converted to a
// number, a duration needs a unit, and an address must be an IP number. Size and
// nesting are limited before parsing.
package strictyaml
