package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Positions maps the paths of fields to their positions in a document.
type Positions struct {
	document Position
	fields   map[string]Position
}

// Find returns the position of the field, or of the nearest enclosing field that is
// in the file.
func (p Positions) Find(field string) Position {
	for field != "" {
		if position, present := p.fields[field]; present {
			return position
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return p.document
}

// Decode decodes the document into target, a pointer to a struct with yaml tags. Keys
// in skip are ignored. Fields that are absent from the document keep their value.
func (d Document) Decode(target any, skip ...string) (Positions, []Problem) {
	decoder := &decoder{positions: Positions{document: d.Position, fields: map[string]Position{}}, skip: skip}
	decoder.decodeStruct("", d.body, reflect.ValueOf(target).Elem())
	return decoder.positions, decoder.problems
}

// Text returns the text of a top-level key, and the position of its value. If the value
// is not a text, it is empty and present is true.
func (d Document) Text(key string) (value string, position Position, present bool) {
	for _, entry := range mappingEntries(d.body) {
		if keyText(entry) == key {
			text, isText := entry.Value.(*ast.StringNode)
			if !isText {
				return "", positionOf(entry.Value), true
			}
			return text.Value, positionOf(entry.Value), true
		}
	}
	return "", d.Position, false
}

type decoder struct {
	positions Positions
	problems  []Problem
	skip      []string
}

func (d *decoder) report(field string, node ast.Node, format string, arguments ...any) {
	d.problems = append(d.problems, Problem{Position: positionOf(node), Field: Shorten(field), Message: fmt.Sprintf(format, arguments...)})
}

func (d *decoder) decodeStruct(path string, node ast.Node, target reflect.Value) {
	if !isMapping(node) {
		d.report(path, node, "wants a mapping of keys to values, not %s", describe(node))
		return
	}
	fields, allowed := structFields(target.Type())
	seen := map[string]Position{}
	for _, entry := range mappingEntries(node) {
		key := keyText(entry)
		field := joinPath(path, key)
		if first, repeated := seen[key]; repeated {
			d.report(field, entry.Key, "the key stands twice; it is already at %d:%d", first.Line, first.Column)
			continue
		}
		seen[key] = positionOf(entry.Key)
		d.positions.fields[field] = positionOf(entry.Key)
		index, known := fields[key]
		if !known {
			if path != "" || !contains(d.skip, key) {
				d.report(field, entry.Key, "unknown key; allowed are %s", strings.Join(allowed, ", "))
			}
			continue
		}
		d.decodeValue(field, entry.Value, target.Field(index))
	}
}

func (d *decoder) decodeValue(path string, node ast.Node, target reflect.Value) {
	d.positions.fields[path] = positionOf(node)
	if parse, isScalar := scalarParsers[target.Type()]; isScalar {
		d.decodeScalar(path, node, target, parse)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, node, target)
	case reflect.Slice:
		d.decodeSlice(path, node, target)
	case reflect.String:
		d.decodeScalar(path, node, target, parseText)
	default:
		panic(fmt.Sprintf("strictyaml: field %s has type %s", path, target.Type()))
	}
}

func (d *decoder) decodeScalar(path string, node ast.Node, target reflect.Value, parse scalarParser) {
	value, expected := parse(node)
	if expected != "" {
		d.report(path, node, "wants %s, not %s", expected, describe(node))
		return
	}
	target.Set(reflect.ValueOf(value).Convert(target.Type()))
}

func (d *decoder) decodeSlice(path string, node ast.Node, target reflect.Value) {
	sequence, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		d.report(path, node, "wants a list, not %s", describe(node))
		return
	}
	items := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for index, value := range sequence.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, index), value, items.Index(index))
	}
	target.Set(items)
}

// structFields maps yaml names to field indexes, and returns the names in field order.
func structFields(structType reflect.Type) (fields map[string]int, names []string) {
	fields = map[string]int{}
	for index := range structType.NumField() {
		name := FieldName(structType.Field(index))
		if name == "" {
			continue
		}
		fields[name] = index
		names = append(names, name)
	}
	return fields, names
}

// FieldName returns the yaml name of a struct field; empty if it has none.
func FieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func isMapping(node ast.Node) bool {
	return node.Type() == ast.MappingType || node.Type() == ast.MappingValueType
}

func mappingEntries(node ast.Node) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	}
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func contains(list []string, text string) bool {
	for _, item := range list {
		if item == text {
			return true
		}
	}
	return false
}

// keyText returns an entry's key without quotes.
func keyText(entry *ast.MappingValueNode) string {
	if text, isText := entry.Key.(*ast.StringNode); isText {
		return text.Value
	}
	return entry.Key.String()
}
