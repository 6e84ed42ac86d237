// Package strictyaml reads YAML written by people into structs and lists every
// problem with its line, column and field. It is stricter than YAML: unknown and
// repeated keys, anchors, aliases, tags and merge keys are problems, a text is never
// taken for a number, a duration needs its unit and an address must be an IP number.
// Size and nesting are bounded before parsing.
package strictyaml
