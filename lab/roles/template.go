package roles

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// fillTemplate fills the gaps of a settings template as the platform does: {{a.b}} is a value, {{#a}} .. {{/a}} stands once for each entry of a
// list or table or once for another value, {{^a}} .. {{/a}} stands where there is none. Within a section {{.}} is the entry, {{@}} its key or
// number, and {{,}} a comma unless it is the last.
func fillTemplate(template string, fields map[string]any) (string, error) {
	parts, rest, err := parseTemplate(template, "")
	if err == nil && rest != "" {
		err = fmt.Errorf("section %q is not open", rest)
	}
	if err != nil {
		return "", err
	}
	var filled strings.Builder
	writeParts(&filled, parts, &scope{value: fields})
	return filled.String(), nil
}

// templatePart is text, a value, or a section with its parts.
type templatePart struct {
	text    string
	name    string
	section bool
	absent  bool
	inside  []templatePart
}

// parseTemplate reads parts up to the end of the section that is open, and returns what follows.
func parseTemplate(template, open string) (parts []templatePart, rest string, err error) {
	for {
		text, tail, found := strings.Cut(template, "{{")
		parts = append(parts, templatePart{text: text})
		if !found {
			if open != "" {
				return nil, "", fmt.Errorf("section %q has no end", open)
			}
			return parts, "", nil
		}
		name, after, closed := strings.Cut(tail, "}}")
		if !closed {
			return nil, "", fmt.Errorf("gap %.20q has no end", tail)
		}
		template = after
		switch {
		case name == "/"+open && open != "":
			return parts, template, nil
		case strings.HasPrefix(name, "/"):
			return nil, "", fmt.Errorf("section %q is not open", name[1:])
		case strings.HasPrefix(name, "#"), strings.HasPrefix(name, "^"):
			section := templatePart{name: name[1:], section: true, absent: name[0] == '^'}
			section.inside, template, err = parseTemplate(template, section.name)
			if err != nil {
				return nil, "", err
			}
			parts = append(parts, section)
		default:
			parts = append(parts, templatePart{name: name})
		}
	}
}

// scope is where names are looked up: in the entry of the innermost section first.
type scope struct {
	outer *scope
	value any
	key   string
	last  bool
}

func (s *scope) find(name string) any {
	for at := s; at != nil; at = at.outer {
		if found := fieldOf(at.value, name); found != nil {
			return found
		}
	}
	return nil
}

// fieldOf follows a name such as a.b.0; nil where there is no such value.
func fieldOf(value any, name string) any {
	for _, step := range strings.Split(name, ".") {
		switch within := value.(type) {
		case map[string]any:
			value = within[step]
		case []string:
			var number int
			if _, err := fmt.Sscan(step, &number); err != nil || number >= len(within) {
				return nil
			}
			value = within[number]
		default:
			return nil
		}
	}
	return value
}

func writeParts(filled *strings.Builder, parts []templatePart, at *scope) {
	for _, part := range parts {
		switch {
		case part.section:
			writeSection(filled, part, at)
		case part.name == ".":
			filled.WriteString(textOf(at.value))
		case part.name == "@":
			filled.WriteString(at.key)
		case part.name == ",":
			if !at.last {
				filled.WriteString(",")
			}
		case part.name != "":
			filled.WriteString(textOf(at.find(part.name)))
		default:
			filled.WriteString(part.text)
		}
	}
}

func writeSection(filled *strings.Builder, part templatePart, at *scope) {
	value := at.find(part.name)
	absent := value == nil || value == false || value == ""
	switch {
	case part.absent && absent:
		writeParts(filled, part.inside, at)
	case part.absent || absent:
	default:
		entries := entriesOf(value)
		for index, each := range entries {
			writeParts(filled, part.inside, &scope{outer: at, value: each.value, key: each.key, last: index == len(entries)-1})
		}
	}
}

type templateEntry struct {
	key   string
	value any
}

func entriesOf(value any) []templateEntry {
	var entries []templateEntry
	switch within := value.(type) {
	case map[string]any:
		for key, each := range within {
			entries = append(entries, templateEntry{key, each})
		}
		slices.SortFunc(entries, func(one, other templateEntry) int { return strings.Compare(one.key, other.key) })
	case []string:
		for number, each := range within {
			entries = append(entries, templateEntry{fmt.Sprint(number), each})
		}
	default:
		entries = append(entries, templateEntry{value: value})
	}
	return entries
}

func textOf(value any) string {
	switch plain := value.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(plain, ",")
	case map[string]any:
		encoded, err := json.Marshal(plain)
		if err != nil {
			panic("encode a table of the settings: " + err.Error())
		}
		return string(encoded)
	default:
		return fmt.Sprint(plain)
	}
}
