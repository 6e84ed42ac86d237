package main

import (
	"fmt"
	"os"
	"strings"
)

// field is one value of a section that a template repeats: its key and its text.
type field struct{ key, text string }

// fields are the values that fill a settings template. A list has one entry for each repetition of its section.
type fields struct {
	values map[string]string
	lists  map[string][]field
}

// fillTemplate fills the settings template as the platform does: {{a}} is a value, {{#a}}..{{/a}} stands once for each entry of a list or once if
// there is a value, {{.}} is the entry, {{@}} its key, {{,}} a comma unless the entry is the last.
func fillTemplate(path string, with fields) (string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return fill(string(content), with, nil, true)
}

func fill(template string, with fields, entry *field, last bool) (string, error) {
	var filled strings.Builder
	for {
		text, rest, found := strings.Cut(template, "{{")
		filled.WriteString(text)
		if !found {
			return filled.String(), nil
		}
		name, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("tag %.20q is not closed", rest)
		}
		template = after
		switch {
		case strings.HasPrefix(name, "#"):
			inside, behind, closed := strings.Cut(after, "{{/"+name[1:]+"}}")
			if !closed {
				return "", fmt.Errorf("section %q is not closed", name)
			}
			template = behind
			entries := with.lists[name[1:]]
			if text := with.values[name[1:]]; text != "" {
				entries = []field{{text: text}}
			}
			for number := range entries {
				part, err := fill(inside, with, &entries[number], number == len(entries)-1)
				if err != nil {
					return "", err
				}
				filled.WriteString(part)
			}
		case name == "." && entry != nil:
			filled.WriteString(entry.text)
		case name == "@" && entry != nil:
			filled.WriteString(entry.key)
		case name == ",":
			if !last {
				filled.WriteString(",")
			}
		default:
			filled.WriteString(with.values[name])
		}
	}
}
