package config

import (
	"fmt"
	"strings"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// ValidationError lists all problems of a file, each with line, column, field and
// what is allowed.
type ValidationError = strictyaml.ValidationError

// Problem is one entry of a ValidationError.
type Problem = strictyaml.Problem

// File is a parsed operators' file. Each declaration is valid by itself; references
// between declarations are not checked yet.
type File struct {
	Declarations []Declaration
}

// Parse reads an operators' file. The error is a *ValidationError.
func Parse(file []byte) (*File, error) {
	documents, problems := strictyaml.Parse(file)
	if len(documents) == 0 && len(problems) == 0 {
		problems = []Problem{{Message: "the file holds no declaration"}}
	}
	parsed := &File{}
	firstPositions := map[ID]strictyaml.Position{}
	for _, document := range documents {
		declaration, found := parseDocument(document)
		problems = append(problems, found...)
		if declaration.Value == nil || declaration.Name == "" {
			continue
		}
		position := declaration.Positions.Find("name")
		if earlier, repeated := firstPositions[declaration.ID]; repeated {
			problems = append(problems, Problem{Position: position, Field: "name",
				Message: fmt.Sprintf("%s is declared twice in this file; first at %d:%d", declaration.ID, earlier.Line, earlier.Column)})
			continue
		}
		firstPositions[declaration.ID] = position
		parsed.Declarations = append(parsed.Declarations, declaration)
	}
	if err := strictyaml.NewValidationError(problems); err != nil {
		return nil, err
	}
	return parsed, nil
}

const kindKey = "kind"

func parseDocument(document strictyaml.Document) (Declaration, []Problem) {
	kind, position, present := document.Text(kindKey)
	value := ValueOf(Kind(kind))
	if value == nil {
		message := fmt.Sprintf("unknown kind %q; allowed are %s", strictyaml.Shorten(kind), kindList())
		if !present {
			message = "the document has no kind; allowed are " + kindList()
		}
		return Declaration{}, []Problem{{Position: position, Field: kindKey, Message: message}}
	}
	positions, problems := document.Decode(value, kindKey)
	invalidFields := map[string]bool{}
	for _, problem := range problems {
		invalidFields[problem.Field] = true
	}
	for _, problem := range checkFields(value, positions) {
		if !invalidFields[problem.Field] {
			problems = append(problems, problem)
		}
	}
	declaration := NewDeclaration(value)
	declaration.Positions = positions
	return declaration, problems
}

func kindList() string {
	names := make([]string, 0, len(Kinds))
	for _, kind := range Kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}
