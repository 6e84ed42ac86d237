package roles

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// fillTemplate renders a settings template as the platform does. {{a.b}} is a value. {{#a}} .. {{/a}} is rendered once for each entry of a
// list or table, or once for any other value; {{^a}} .. {{/a}} is rendered if there is no value. Within a section {{.}} is the entry, {{@}}
// its key or index, and {{,}} a comma unless it is the last entry.
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

// templatePart is plain text, a value, or a section with its parts.
type templatePart struct {
	text    string
	name    string
	section bool
	absent  bool
	inside  []templatePart
}

// parseTemplate parses up to the end of the section named open, or of the template if open is empty, and returns the rest.
func parseTemplate(template, open string) (parts []templatePart, rest string, err error) {
	for {
		text, tail, found := strings.Cut(template, "{{")
		parts = append(parts, templatePart{text: text})
		if !found {
			if open != "" {
				return nil, "", fmt.Errorf("section %q is not closed", open)
			}
			return parts, "", nil
		}
		name, after, closed := strings.Cut(tail, "}}")
		if !closed {
			return nil, "", fmt.Errorf("tag %.20q is not closed", tail)
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

// scope resolves names, starting with the entry of the innermost section.
type scope struct {
	outer *scope
	value any
	key   string
	last  bool
}

func (s *scope) find(name string) any {
	for current := s; current != nil; current = current.outer {
		if found := fieldOf(current.value, name); found != nil {
			return found
		}
	}
	return nil
}

// fieldOf resolves a path such as a.b.0; it returns nil if there is no such value.
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

func writeParts(filled *strings.Builder, parts []templatePart, current *scope) {
	for _, part := range parts {
		switch {
		case part.section:
			writeSection(filled, part, current)
		case part.name == ".":
			filled.WriteString(textOf(current.value))
		case part.name == "@":
			filled.WriteString(current.key)
		case part.name == ",":
			if !current.last {
				filled.WriteString(",")
			}
		case part.name != "":
			filled.WriteString(textOf(current.find(part.name)))
		default:
			filled.WriteString(part.text)
		}
	}
}

func writeSection(filled *strings.Builder, part templatePart, current *scope) {
	value := current.find(part.name)
	absent := value == nil || value == false || value == ""
	switch {
	case part.absent && absent:
		writeParts(filled, part.inside, current)
	case part.absent || absent:
	default:
		entries := entriesOf(value)
		for index, entry := range entries {
			writeParts(filled, part.inside, &scope{outer: current, value: entry.value, key: entry.key, last: index == len(entries)-1})
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
		for key, element := range within {
			entries = append(entries, templateEntry{key, element})
		}
		slices.SortFunc(entries, func(a, b templateEntry) int { return strings.Compare(a.key, b.key) })
	case []string:
		for number, element := range within {
			entries = append(entries, templateEntry{fmt.Sprint(number), element})
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
			panic("encode settings table: " + err.Error())
		}
		return string(encoded)
	default:
		return fmt.Sprint(plain)
	}
}
