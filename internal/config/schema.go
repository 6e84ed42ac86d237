package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/invopop/jsonschema"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// durationPattern matches the text form of a duration.
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// Schema returns the JSON Schema of one document of an operators' file. It contains
// the type and the bounds of each field; references are not covered.
func Schema() *jsonschema.Schema {
	root := &jsonschema.Schema{
		Version: jsonschema.Version,
		Title:   "sloelift operators' file",
	}
	for _, kind := range Kinds {
		root.OneOf = append(root.OneOf, kindSchema(kind))
	}
	return root
}

func kindSchema(kind Kind) *jsonschema.Schema {
	reflector := &jsonschema.Reflector{
		Anonymous:                  true,
		DoNotReference:             true,
		RequiredFromJSONSchemaTags: true,
		Mapper:                     mapDuration,
	}
	value := ValueOf(kind)
	schema := reflector.Reflect(value)
	schema.Version = ""
	schema.Title = string(kind)
	schema.Properties.Set(kindKey, &jsonschema.Schema{Const: string(kind)})
	schema.Required = []string{kindKey}
	structType := reflect.TypeOf(value).Elem()
	for index := range structType.NumField() {
		field := structType.Field(index)
		name := strictyaml.FieldName(field)
		property, _ := schema.Properties.Get(name)
		if addRules(property, strings.Split(field.Tag.Get(validateTag), ",")) {
			schema.Required = append(schema.Required, name)
		}
	}
	return schema
}

func mapDuration(fieldType reflect.Type) *jsonschema.Schema {
	if fieldType != reflect.TypeFor[time.Duration]() {
		return nil
	}
	return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
}

// addRules adds validate rules to the schema of a field and reports whether the
// field is required. Rules after "dive" apply to the items of a list.
func addRules(property *jsonschema.Schema, rules []string) (required bool) {
	for index, rule := range rules {
		name, limit, _ := strings.Cut(rule, "=")
		switch name {
		case "dive":
			addRules(property.Items, rules[index+1:])
			return required
		case "required":
			required = true
		case "dns_label":
			property.Pattern = dnsLabel.String()
		case uniqueRule:
			property.UniqueItems = true
		case "hexadecimal":
			property.Pattern = "^[0-9a-f]*$"
		case "len":
			length := limitOf(limit)
			property.MinLength, property.MaxLength = length, length
		case "min", "max":
			addBound(property, name, limit)
		}
	}
	return required
}

func addBound(property *jsonschema.Schema, name, limit string) {
	switch {
	case property.Type == "array" && name == "min":
		property.MinItems = limitOf(limit)
	case property.Type == "string" && property.Pattern == "" && name == "max":
		property.MaxLength = limitOf(limit)
	case property.Type == "string":
		// The bound of a duration has no counterpart in JSON Schema.
	case name == "min":
		property.Minimum = json.Number(limit)
	default:
		property.Maximum = json.Number(limit)
	}
}

func limitOf(text string) *uint64 {
	var limit uint64
	if err := json.Unmarshal([]byte(text), &limit); err != nil {
		panic("config: bound " + text + " of a validate tag is no number")
	}
	return &limit
}
